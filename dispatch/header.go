package dispatch

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrywalk/cranberrywalk/request"
)

// ownPrefix begins the names of headers between callers and the system.
const ownPrefix = "Cranberrywalk-"

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerHeaders are meant for the daemon or set anew.
var callerHeaders = []string{"Accept-Encoding", "Authorization", "Content-Length", "Expect", "Host"}

// toBackend returns the header fields that a backend server gets.
func toBackend(header request.Header) http.Header {
	out := endToEnd(cloneHeader(header))
	for _, name := range callerHeaders {
		out.Del(name)
	}
	return out
}

// toCaller returns the header fields that the caller gets.
func toCaller(header http.Header) http.Header {
	return endToEnd(header.Clone())
}

// endToEnd removes the fields that concern one connection only.
func endToEnd(header http.Header) http.Header {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, ownPrefix) {
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

// retryAfter reads the seconds of a Retry-After header; zero when absent.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
