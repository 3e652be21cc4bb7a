package callerserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/callerserver"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

// serveVariable makes the test process a server that sends parts of answers.
const serveVariable = "CALLERSERVER_TEST_SERVES"

func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) != "" {
		servePart()
	}
	os.Exit(m.Run())
}

// servePart prints its address and serves until the process is killed.
func servePart() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	server := callerserver.New(telemetry.NewCommon(), callerserver.Options{},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			writePart(w)
			<-r.Context().Done()
		}))
	panic(server.Serve(listener))
}

// TestKilledProcessLeavesNoWholeAnswer guards against the part of an answer that looks whole to
// a caller of HTTP/1.0 since the process was killed, which closes its connections.
func TestKilledProcessLeavesNoWholeAnswer(t *testing.T) {
	for name, signal := range map[string]os.Signal{"kill": syscall.SIGKILL, "stop": syscall.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			command := exec.Command(os.Args[0])
			command.Env = append(os.Environ(), serveVariable+"=1")
			output, err := command.StdoutPipe()
			c.Assert(err, qt.IsNil)
			c.Assert(command.Start(), qt.IsNil)
			c.Cleanup(func() {
				_ = command.Process.Kill()
				_ = command.Wait()
			})
			address, err := bufio.NewReader(output).ReadString('\n')
			c.Assert(err, qt.IsNil)
			conn, err := net.Dial("tcp", strings.TrimSpace(address))
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = conn.Close() })
			c.Assert(conn.SetDeadline(time.Now().Add(closeTimeout)), qt.IsNil)
			_, err = io.WriteString(conn, oldGet)
			c.Assert(err, qt.IsNil)
			reader := bufio.NewReader(conn)
			_, err = reader.Peek(1)
			c.Assert(err, qt.IsNil)
			c.Assert(command.Process.Signal(signal), qt.IsNil)
			_, err = io.ReadAll(reader)
			c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
}
