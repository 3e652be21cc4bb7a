package hostinghttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
)

// TestResponseThatBreaksOffIsNotWhole guards against a list, or a result, of a service that has
// no length, breaks off at any byte, and counts as whole.
func TestResponseThatBreaksOffIsNotWhole(t *testing.T) {
	const unframed = " x\r\nConnection: close\r\n\r\n"
	ctx := context.Background()
	for _, scenario := range []struct {
		name, content string
		call          func(base string) error
		// kind is that of the error of the whole response.
		kind string
	}{
		{"VM list", "HTTP/1.1 200" + unframed + `{"Version":12,"VMs":[{"Name":"a"}]}`, func(base string) error {
			_, err := hostinghttp.NewVMList(base, http.DefaultClient).VMs(ctx)
			return err
		}, "None"},
		{"read", "HTTP/1.1 200" + unframed + `{"Records":[],"End":12}`, func(base string) error {
			_, err := hostinghttp.NewLog(base, http.DefaultClient).Read(ctx, stream, 0, 1, 0)
			return err
		}, "None"},
		{"trimmed", "HTTP/1.1 410" + unframed + `{"First":12}`, func(base string) error {
			_, err := hostinghttp.NewLog(base, http.DefaultClient).Read(ctx, stream, 0, 1, 0)
			return err
		}, "Trimmed"},
		{"append", "HTTP/1.1 200" + unframed + `{"Offset":12}`, func(base string) error {
			_, err := hostinghttp.NewLog(base, http.DefaultClient).Append(ctx, stream, [][]byte{{1}})
			return err
		}, "None"},
		{"notices", "HTTP/1.1 200" + unframed + `{"Notices":[]}`, func(base string) error {
			_, err := hostinghttp.NewCloud(base, http.DefaultClient).Notices(ctx, 0, 0)
			return err
		}, "None"},
		{"order", "HTTP/1.1 200" + unframed + `{}`, func(base string) error {
			return hostinghttp.NewEngine(base, http.DefaultClient).Order(ctx, hosting.Order{})
		}, "None"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			base, content := serveRaw(c)
			for cut := range scenario.content {
				content.Store(new(scenario.content[:cut]))
				kind := errorKind(scenario.call(base))
				c.Check(kind == "Unavailable" || kind == "Uncertain", qt.IsTrue, qt.Commentf("%q: %s", scenario.content[:cut], kind))
			}
			content.Store(&scenario.content)
			c.Check(errorKind(scenario.call(base)), qt.Equals, scenario.kind)
		})
	}
}

// serveRaw answers each request with the same bytes and closes the connection. It returns the
// URL and the place of the bytes.
func serveRaw(c *qt.C) (string, *atomic.Pointer[string]) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	var content atomic.Pointer[string]
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, *content.Load())
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String(), &content
}
