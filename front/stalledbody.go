package front

import (
	"net/http"
	"sync"
	"time"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
)

// stallTime is how long a body may take while others need the connection.
const stallTime = 500 * time.Millisecond

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// stallWatch lets the connection of a request make room for others if its body has not come within
// stallTime.
type stallWatch struct {
	writer  http.ResponseWriter
	request *http.Request
	// timer is nil if the request has no body.
	timer interface{ Stop() bool }

	mutex sync.Mutex
	// isStopped is true once the body is not awaited any more; guarded by mutex, as isCut.
	isStopped bool
	// isCut is true once the reading was ended for the sake of others.
	isCut bool
}

// watchBody starts to watch the body of a request.
func (f *Front) watchBody(w http.ResponseWriter, r *http.Request) *stallWatch {
	watch := &stallWatch{writer: w, request: r}
	if r.ContentLength != 0 {
		watch.timer = f.Clock.AfterFunc(stallTime, watch.stall)
	}
	return watch
}

// stall is called when the body has not come in time.
func (s *stallWatch) stall() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isStopped {
		callerserver.StallBody(s.request.Context(), s.cut)
	}
}

// cut ends the reading of the body for the sake of others.
func (s *stallWatch) cut() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isStopped {
		s.isCut = true
		// An error means that the connection is closed, which the read tells.
		_ = http.NewResponseController(s.writer).SetReadDeadline(longAgo)
	}
}

// stop ends the watching, and reports whether the reading was cut.
func (s *stallWatch) stop() (isCut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isStopped = true
	if s.timer != nil && !s.timer.Stop() {
		callerserver.ResumeBody(s.request.Context())
	}
	return s.isCut
}
