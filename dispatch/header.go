package dispatch

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// systemHeaderPrefix is the prefix of the headers between callers and this
// system. Backend servers neither receive nor set them.
const systemHeaderPrefix = "Cranberrywalk-"

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// droppedRequestHeaders are either meant for the daemon only or set again by it.
var droppedRequestHeaders = []string{"Accept-Encoding", "Authorization", "Content-Length", "Expect", "Host"}

// backendHeader returns the header fields that are forwarded to a backend server.
func backendHeader(header request.Header) http.Header {
	out := removeHopByHop(cloneHeader(header))
	for _, name := range droppedRequestHeaders {
		out.Del(name)
	}
	return out
}

// callerHeader returns the header fields that are returned to the caller.
func callerHeader(header http.Header) http.Header {
	return removeHopByHop(header.Clone())
}

// removeHopByHop removes the hop-by-hop fields and the fields of this system from
// header, and returns it.
func removeHopByHop(header http.Header) http.Header {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, systemHeaderPrefix) {
			delete(header, name)
		}
	}
	return header
}

func cloneHeader(header request.Header) http.Header {
	if header == nil {
		return make(http.Header)
	}
	return http.Header(header).Clone()
}

// parseRetryAfter returns the value of a Retry-After header in seconds; zero when
// it is absent or invalid.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
