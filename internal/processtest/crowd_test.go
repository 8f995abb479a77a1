package processtest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/crowdtest"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// Limits of the daemon in the tests of crowds, and of the process. They are far below those of a VM, so that a small crowd
// exceeds them.
const (
	crowdBodyBytes     = 1 << 20
	crowdInFlightBytes = 8 << 20
	crowdConnections   = 200
	crowdMemoryMB      = 96
	crowdFiles         = 300
	// crowdHeads is the number of callers whose heads are large or have many lines, crowdHeadBytes the size of a head that
	// is legal, crowdOverLimitBytes that of one that is not.
	crowdHeads          = 400
	crowdHeadBytes      = 16 << 10
	crowdOverLimitBytes = 3 << 19
)

// Guards against a daemon whose memory for bodies or whose descriptors stay occupied by callers that do not finish, so that
// ordinary callers get no answer.
func TestDaemonSurvivesCrowds(t *testing.T) {
	if os.Getenv("BERGAMOT_CROWDS") == "" {
		t.Skip("crowds are tested alone, with BERGAMOT_CROWDS set")
	}
	head := "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
	body := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, crowdBodyBytes, strings.Repeat(" ", crowdBodyBytes-100))
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat(" ", 1<<16)+"\r\n", 15)
	crowds := []struct {
		name string
		size int
		sent string
		// piece is the number of bytes that are written at once.
		piece int
	}{
		{"bodies", 100, body, len(body)},
		{"bodies in pieces", 100, body, 32 << 10},
		{"chunks", 100, chunked, len(chunked)},
		{"silent connections", 500, "", 1},
		{"heads byte by byte", 500, head, 1},
	}
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			survivesCrowd(t, crowd.size, func(c net.Conn) {
				for rest := crowd.sent; len(rest) > 0; {
					n := min(crowd.piece, len(rest))
					if _, err := c.Write([]byte(rest[:n])); err != nil {
						return
					}
					rest = rest[n:]
					if crowd.piece < len(crowd.sent) {
						time.Sleep(2 * time.Millisecond)
					}
				}
			})
		})
	}
}

// crowdRequests are those that crowds send in heads of many lines.
var crowdRequests = crowdtest.Request{
	Line: "POST /v1/completions HTTP/1.1", Header: "Host: h\r\n",
	HeadBytes: crowdHeadBytes, BodyBytes: crowdBodyBytes, OverLimitBytes: crowdOverLimitBytes,
}

// Guards against the same while callers send heads of very many lines or without end, also beside bodies and on connections
// that are kept.
func TestDaemonSurvivesCrowdsOfHeads(t *testing.T) {
	if os.Getenv("BERGAMOT_CROWDS") == "" {
		t.Skip("crowds are tested alone, with BERGAMOT_CROWDS set")
	}
	for _, kind := range crowdRequests.Kinds() {
		t.Run(kind.Name, func(t *testing.T) { survivesCrowd(t, crowdHeads, kind.Send) })
	}
}

// startCrowdDaemon starts a daemon with the limits of the tests of crowds, and waits until it can serve.
func startCrowdDaemon(t *testing.T) *system {
	s := newSystem(t)
	s.addEngine("engine-1", "anand", "--token-time", "5ms")
	s.listDaemon("anand-1", "anand")
	s.startPlatform()
	s.publish(configuration(""))
	s.startDaemonWith("anand-1", "anand", func(cfg *settings.Settings) {
		cfg.Limits.BodyBytes, cfg.Limits.InFlightBytes = crowdBodyBytes, crowdInFlightBytes
		cfg.Limits.CallerConnections = crowdConnections
	})
	s.awaitOK("anand-1", "/readyz")
	s.await("the daemon can reach the engine", func() bool { return s.completesFully("anand-1", "hello tokens=2") })
	return s
}

// survivesCrowd checks a daemon beside size callers, each of which sends with send, and stays open.
func survivesCrowd(t *testing.T, size int, send func(c net.Conn)) {
	s := startCrowdDaemon(t)
	var group sync.WaitGroup
	for range size {
		c, err := net.Dial("tcp", s.addresses["anand-1"])
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetWriteDeadline(time.Now().Add(awaitTimeout / 3))
		group.Go(func() { send(c) })
	}
	group.Wait()
	s.checkResources("anand-1")
	s.await("an ordinary caller gets its answer", func() bool { return s.completesFully("anand-1", "hello tokens=2") })
	s.checkResources("anand-1")
}

// Guards against limits that refuse the largest legal head if it has as many lines as possible and the largest body.
func TestLargestRequestOfManyLinesIsServedInCalm(t *testing.T) {
	if os.Getenv("BERGAMOT_CROWDS") == "" {
		t.Skip("crowds are tested alone, with BERGAMOT_CROWDS set")
	}
	s := startCrowdDaemon(t)
	const content = `{"model":"slot-query","prompt":"hello tokens=2","max_tokens":2}`
	for name, request := range crowdRequests.LargestRequests(content) {
		if status, err := crowdtest.Answer("", s.addresses["anand-1"], request); status != http.StatusOK {
			t.Errorf("%s: status %d, error %v", name, status, err)
		}
	}
	s.checkResources("anand-1")
}

// checkResources reports a process that has used too much memory or too many descriptors, or has ended.
func (s *system) checkResources(name string) {
	s.t.Helper()
	proc := fmt.Sprintf("/proc/%d/", s.processes[name].Process.Pid)
	status, err := os.ReadFile(proc + "status")
	if err != nil {
		s.t.Fatal(err)
	}
	files, err := filepath.Glob(proc + "fd/*")
	if err != nil {
		s.t.Fatal(err)
	}
	peak := 0
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			peak, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	s.t.Logf("peak memory %d KiB, %d descriptors", peak, len(files))
	if peak == 0 || peak > crowdMemoryMB<<10 {
		s.t.Errorf("%s has used %d KiB of memory, allowed are %d", name, peak, crowdMemoryMB<<10)
	}
	if len(files) == 0 || len(files) > crowdFiles {
		s.t.Errorf("%s has %d open descriptors, allowed are %d", name, len(files), crowdFiles)
	}
}
