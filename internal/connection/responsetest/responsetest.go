// Package responsetest has HTTP/1.1 responses of broken targets, for tests of what reads them.
package responsetest

import "strconv"

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
