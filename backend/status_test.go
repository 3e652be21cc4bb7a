package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/backend"
)

// Guards against an answer with a status that no answer has, such as 000, and that the daemon
// takes for an answer of its backend server.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "199", "600", "700", "999", "-01", "+20", "20x", "abc", "20", "2000", "0200"} {
		for _, isStream := range []bool{false, true} {
			t.Run(fmt.Sprint(status, " stream ", isStream), func(t *testing.T) {
				c := qt.New(t)
				s := serve(c, func(w io.Writer, r *http.Request, _ int64) bool {
					fmt.Fprintf(w, "HTTP/1.1 %s Answer\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Request-Id"))
					return false
				})
				client, _ := newClient(c)
				call := s.call(false)
				call.Stream = isStream

				answer, err := client.Send(context.Background(), call)

				if err == nil {
					answer.Close()
				}
				var fault *backend.FaultError
				c.Assert(errors.As(err, &fault), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(fault.MaybeWritten, qt.IsTrue)
			})
		}
	}
}
