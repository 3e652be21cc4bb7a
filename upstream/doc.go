// Package upstream sends requests to runners over HTTP/1.1 connections that it
// keeps open. It knows whether a byte of a request may have reached a runner,
// and never sends a request twice by itself.
package upstream
