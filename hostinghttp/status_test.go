package hostinghttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
)

// serveStatus answers each request with a status line that has the given status.
func serveStatus(c *qt.C, status string) (url string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				fmt.Fprintf(conn, "HTTP/1.1 %s Answer\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", status)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against an answer with a status that no answer has, such as 000, and that says that a
// record was not appended.
func TestImpossibleStatusLeavesAppendUncertain(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "199", "600", "700", "999", "-01", "+20", "20x", "2000"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			log := hostinghttp.NewLog(serveStatus(c, status), &http.Client{})

			_, err := log.Append(context.Background(), stream, [][]byte{[]byte("a")})
			c.Check(errorKind(err), qt.Equals, "Uncertain", qt.Commentf("%v", err))

			_, err = log.Read(context.Background(), stream, 0, 10, 0)
			c.Check(errorKind(err), qt.Equals, "Unavailable", qt.Commentf("%v", err))
		})
	}
}
