// Package responsetest has HTTP/1.1 responses of broken targets, for tests of what reads them.
package responsetest

import (
	"fmt"
	"maps"
	"strconv"
)

// InvalidStatuses returns responses that have no valid status before the end of a final response, by name.
// fields are header lines of a sound response and body is its body. Some targets go on with a response that
// would be sound by itself.
func InvalidStatuses(fields, body string) map[string]string {
	sound := fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	success := "HTTP/1.1 200 OK\r\n" + sound
	return map[string]string{
		"000":                              "HTTP/1.1 000 X\r\n" + sound,
		"000 without a body":               "HTTP/1.1 000 X\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"000 whose body is a response":     "HTTP/1.1 000 X\r\n" + fields + "\r\n" + success,
		"000 before a response":            "HTTP/1.1 000 X\r\n\r\n" + success,
		"000 after informational":          "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\n" + fields + "\r\n" + success,
		"099":                              "HTTP/1.1 099 X\r\n" + fields + "\r\n" + success,
		"+20":                              "HTTP/1.1 +20 X\r\n" + fields + "\r\n" + success,
		"protocol switched without asking": "HTTP/1.1 101 X\r\n" + fields + "\r\n" + success,
		"600":                              "HTTP/1.1 600 X\r\n" + sound,
		"999":                              "HTTP/1.1 999 X\r\n" + sound,
	}
}

// MalformedHeads returns the responses of InvalidFieldNames, ContinuedLines and InvalidInformational.
func MalformedHeads(fields, body string) map[string]string {
	responses := InvalidFieldNames(fields, body)
	maps.Copy(responses, ContinuedLines(fields, body))
	maps.Copy(responses, InvalidInformational(fields, body))
	return responses
}

// InvalidFieldNames returns responses in whose head the name of a field has a byte that names don't have, by
// name. fields and body are as for InvalidStatuses.
func InvalidFieldNames(fields, body string) map[string]string {
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	responses := map[string]string{
		"length with a blank":   "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"encoding with a blank": "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunked(body) + "0\r\n\r\n",
	}
	for name, line := range invalidLines() {
		responses[name] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n" + length + "\r\n" + body
	}
	for name, line := range commonInvalidLines {
		responses[name+", first"] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + fields + length + "\r\n" + body
		responses[name+", error"] = "HTTP/1.1 500 X\r\n" + fields + line + "\r\n" + length + "\r\n" + body
	}
	return responses
}

// ContinuedLines returns responses with lines that continue other ones, or whose names begin with a blank, by
// name. fields and body are as for InvalidStatuses.
func ContinuedLines(fields, body string) map[string]string {
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	responses := map[string]string{"length on a line that continues another one": "HTTP/1.1 200 OK\r\n" + fields + " " + length + "\r\n" + body}
	for name, line := range continuingLines() {
		responses[name] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n" + length + "\r\n" + body
	}
	return responses
}

// InvalidInformational returns responses before which the head of an informational one has an invalid name, by
// name. fields and body are as for InvalidStatuses.
func InvalidInformational(fields, body string) map[string]string {
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	responses := map[string]string{}
	for name, line := range commonInvalidLines {
		responses[name+", informational"] = "HTTP/1.1 103 X\r\nLink: x\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body
	}
	return responses
}

// MalformedTrailers returns the responses of InvalidTrailers, and ones whose trailers have lines that continue
// other ones.
func MalformedTrailers(fields, body string) map[string]string {
	responses := InvalidTrailers(fields, body)
	for name, line := range continuingLines() {
		responses[name] = withTrailers(fields, body, "X: y\r\n"+line+"\r\n")
	}
	return responses
}

// InvalidTrailers returns responses whose trailers have names with bytes that names don't have, by name. fields
// and body are as for InvalidStatuses.
func InvalidTrailers(fields, body string) map[string]string {
	responses := map[string]string{"blank, first": withTrailers(fields, body, "X Y: z\r\n")}
	for name, line := range invalidLines() {
		responses[name] = withTrailers(fields, body, "X: y\r\n"+line+"\r\n")
	}
	return responses
}

func withTrailers(fields, body, trailers string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "0\r\n" + trailers + "\r\n"
}

// InvalidChunks returns responses with chunks whose sizes are invalid, by name. fields and body are as for
// InvalidStatuses.
func InvalidChunks(fields, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"
	responses := map[string]string{}
	hex := fmt.Sprintf("%x", len(body))
	for name, size := range map[string]string{
		"blank in a size": hex + " 0", "blank before a size": " " + hex, "control byte in a size": hex + "\x01", "no size": "", "sign": "+" + hex,
	} {
		responses[name] = head + size + "\r\n" + body + "\r\n0\r\n\r\n"
	}
	return responses
}

func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// commonInvalidLines are two of invalidLines.
var commonInvalidLines = map[string]string{"blank": "X Y: z", "control byte": "X\x01Y: z"}

// invalidLines returns header lines with invalid names that don't begin with a blank.
func invalidLines() map[string]string {
	lines := map[string]string{"empty name": ": z", "no colon": "X Y"}
	for name, b := range map[string]string{"blank": " ", "tab": "\t", "NUL": "\x00", "control byte": "\x01", "CR": "\r", "DEL": "\x7f"} {
		lines[name+" within a name"] = "X" + b + "Y: z"
		lines[name+" before the colon"] = "X-Y" + b + ": z"
	}
	for name, b := range map[string]string{"NUL": "\x00", "control byte": "\x01", "CR": "\r", "DEL": "\x7f"} {
		lines[name+" before the name"] = b + "X-Y: z"
		lines[name+" as the name"] = b + ": z"
	}
	return lines
}

// continuingLines returns header lines that begin with a blank, each of which continues the line before.
func continuingLines() map[string]string {
	lines := map[string]string{}
	for name, b := range map[string]string{"blank": " ", "tab": "\t"} {
		lines[name+" before the name"] = b + "X-Y: z"
		lines[name+" as the name"] = b + ": z"
	}
	return lines
}
