package target

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// behavior is how a rawServer reacts to a request.
type behavior int

const (
	// responds sends a normal response.
	responds behavior = iota
	// closes closes the connection after the whole request.
	closes
	// refusesStream resets the stream with REFUSED_STREAM; HTTP/2 only.
	refusesStream
	// goesAway sends a GOAWAY with last stream ID 0; HTTP/2 only.
	goesAway
	// redirects sends a redirect that preserves method and body.
	redirects
	// refuses sends the refusal of the server.
	refuses
)

// refusal is a response by which a target states that it refuses a call. fields and trailers are names and values
// in turn.
type refusal struct {
	status           string
	fields, trailers []string
}

// refusalBody is an error of the Connect protocol.
const refusalBody = `{"code":"failed_precondition","message":"refused"}`

// text returns the HTTP/1.1 response.
func (r refusal) text() string {
	return "HTTP/1.1 " + r.status + " X\r\nContent-Type: application/json\r\n" + lines(r.fields) + "Transfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(refusalBody), refusalBody) + lines(r.trailers) + "\r\n"
}

func lines(fields []string) string {
	text := ""
	for field := range slices.Chunk(fields, 2) {
		text += field[0] + ": " + field[1] + "\r\n"
	}
	return text
}

// rawServer counts the requests that arrive completely, on any connection. It reacts to
// them with the given behaviors in order, and to later ones with a normal response.
type rawServer struct {
	listener net.Listener
	http1    bool
	response []byte

	mu        sync.Mutex // guards the fields below
	refusal   refusal
	behaviors []behavior
	arrivals  int
	conns     []net.Conn
}

func startRawServer(t *testing.T, http1 bool, behaviors ...behavior) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	response, err := proto.Marshal(&chicoryv1.InvokeResponse{CallId: "c"})
	assert.NilError(t, err)
	s := &rawServer{listener: ln, http1: http1, response: response, behaviors: behaviors}
	var tasks sync.WaitGroup
	tasks.Go(func() { s.accept(&tasks) })
	t.Cleanup(func() {
		_ = ln.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		tasks.Wait()
	})
	return s
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func (s *rawServer) accept(tasks *sync.WaitGroup) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		tasks.Go(func() {
			defer func() { _ = c.Close() }()
			if s.http1 {
				s.serveHTTP1(c)
			} else {
				s.serveHTTP2(c)
			}
		})
	}
}

// arrive counts a request and returns how to react to it.
func (s *rawServer) arrive() behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	if len(s.behaviors) == 0 {
		return responds
	}
	b := s.behaviors[0]
	s.behaviors = s.behaviors[1:]
	return b
}

func (s *rawServer) setRefusal(r refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = r
}

func (s *rawServer) refusalToSend() refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusal
}

// arrived returns the number of requests so far.
func (s *rawServer) arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

func (s *rawServer) serveHTTP1(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		resp := &http.Response{ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, StatusCode: http.StatusOK}
		switch s.arrive() {
		case closes:
			return
		case refuses:
			_, _ = io.WriteString(c, s.refusalToSend().text())
			continue
		case redirects:
			resp.StatusCode = http.StatusTemporaryRedirect
			resp.Header.Set("Location", "http://"+s.address()+req.URL.Path)
		default:
			resp.Header.Set("Content-Type", "application/proto")
			resp.ContentLength = int64(len(s.response))
			resp.Body = io.NopCloser(bytes.NewReader(s.response))
		}
		if err := resp.Write(c); err != nil {
			return
		}
	}
}

func (s *rawServer) serveHTTP2(c net.Conn) {
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(c, c)
	if framer.WriteSettings() != nil {
		return
	}
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		h := f.Header()
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				_ = framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				_ = framer.WritePing(true, f.Data)
			}
		case *http2.DataFrame, *http2.HeadersFrame:
			if h.Flags.Has(http2.FlagDataEndStream) && !s.respond(framer, h.StreamID) {
				return
			}
		}
	}
}

// respond reacts to a complete request on a stream. It returns false if the connection
// must be closed.
func (s *rawServer) respond(framer *http2.Framer, stream uint32) bool {
	switch s.arrive() {
	case closes:
		return false
	case refusesStream:
		_ = framer.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
	case goesAway:
		_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
	case redirects:
		s.writeHeaders(framer, stream, true, ":status", "307", "location", "http://"+s.address()+"/")
	case refuses:
		r := s.refusalToSend()
		head := []string{":status", r.status, "content-type", "application/json"}
		s.writeHeaders(framer, stream, false, append(head, r.fields...)...)
		_ = framer.WriteData(stream, r.trailers == nil, []byte(refusalBody))
		if r.trailers != nil {
			s.writeHeaders(framer, stream, true, r.trailers...)
		}
	default:
		s.writeHeaders(framer, stream, false, ":status", "200", "content-type", "application/proto")
		_ = framer.WriteData(stream, true, s.response)
	}
	return true
}

func (s *rawServer) writeHeaders(framer *http2.Framer, stream uint32, end bool, pairs ...string) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for i := 0; i < len(pairs); i += 2 {
		_ = enc.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]})
	}
	_ = framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: block.Bytes(), EndStream: end, EndHeaders: true,
	})
}
