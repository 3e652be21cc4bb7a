package rollout

import (
	"time"

	"github.com/cranberrywalk/cranberrywalk/latest"
)

const (
	// MaxRoutes bounds the routes in a report. The requests of further routes are counted as
	// one route, OtherRoutes.
	MaxRoutes = 16
	// OtherRoutes is the name under which the routes beyond MaxRoutes are counted.
	OtherRoutes = ""
)

// Report is the wire form of a Tally, for digests. It and the structs in it are encoded as
// arrays: the order and the types of their fields are the wire format.
type Report struct {
	Service, Target string
	Period          time.Duration
	Position        latest.Position
	// Age is the time since the order when the report was made.
	Age time.Duration
	// Phase is the phase that the daemon has applied; Switch in Closing.
	Phase Phase
	// Stopped is true if the daemon sends nothing to the target on its own evidence or on that
	// of a peer.
	Stopped bool
	// Arrived counts the requests for the service, and Started the attempts at the target.
	Arrived, Started uint64
	// OldInFlight and TargetInFlight count the attempts in flight, and the streams that will go on
	// at the version.
	OldInFlight, TargetInFlight uint32
	// LongestOld is the longest time that a request has been in flight at another version,
	// including those that still are.
	LongestOld time.Duration
	Routes     []RouteReport
	// OldStarted counts the attempts at other versions.
	OldStarted uint64
	// Closed is true in Closing, unless the daemon has stopped: it sends nothing more to other
	// versions. Daemons that do not know the phase do not set it.
	Closed bool
}

// RouteReport holds the counts of one route.
type RouteReport struct {
	Route string
	// Cells holds the counts by load level and version, see cellIndex.
	Cells [cellsPerRoute]CellReport
}

// CellReport holds the counts of the responses of one version on one route at one load level.
type CellReport struct {
	Good, Failed uint32
	// FirstTime is the bin with which Times begins.
	FirstTime uint8
	// Times is a histogram of the times to the response or the first event, without its
	// leading and trailing zeros. Its bins are half an octave wide. After the bins of all times come
	// those of the times after which callers stopped waiting for a response.
	Times []uint32
}
