package app

import (
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestServeLimitsTheMemoryOfTheRuntime guards against a heap that grows to twice of what is live, so
// that the platform kills the process.
func TestServeLimitsTheMemoryOfTheRuntime(t *testing.T) {
	c := qt.New(t)
	before := debug.SetMemoryLimit(-1)
	c.Cleanup(func() { debug.SetMemoryLimit(before) })
	path := filepath.Join(c.TempDir(), "settings.yaml")
	content := `node_name: "edge-1"
zone: "zone-1"
listen: {frontend: "no address", readiness: "127.0.0.1:0", control_plane: "127.0.0.1:0"}
limits: {memory_mb: 284}
platform: {address: "127.0.0.1:1"}
`
	c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	c.Assert(serveOnPlatform(c.Context(), path, nil, io.Discard), qt.IsNotNil)
	c.Check(debug.SetMemoryLimit(-1), qt.Equals, int64(213<<20))
}
