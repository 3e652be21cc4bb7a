// Package upstream sends requests to runners over pooled HTTP/1.1 connections. It
// reports whether any byte of a request may have reached a runner, and never retries
// a request by itself.
package upstream
