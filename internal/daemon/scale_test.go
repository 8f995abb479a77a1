package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/membership"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

const (
	// scaleWindow is the virtual time over which the cost of control traffic is
	// measured.
	scaleWindow = 30 * time.Second
	// scaleStartWindow is the virtual time over which the cost of a simultaneous start is
	// measured.
	scaleStartWindow = time.Minute
	// scaleWarmUp is the virtual time until the state of all daemons has spread after
	// the start.
	scaleWarmUp = 5 * time.Minute
	// Intervals at the target size; docs/CAPACITY.md gives their reasons.
	scaleProbeInterval  = time.Second
	scaleStatusInterval = 2 * time.Second
	scaleVMListInterval = 5 * time.Second
	// scaleDataCentres is the number of data centres. Each has two daemons or more,
	// because the death of the only daemon of a data centre looks like a partition.
	scaleDataCentres = 7
)

// TestScale prints the control cost per daemon for the fleet sizes in BERGAMOT_SCALE,
// such as "6,24,96,380". It checks only that a configuration change and the death of a
// daemon reach all daemons.
func TestScale(t *testing.T) {
	sizes := os.Getenv("BERGAMOT_SCALE")
	if sizes == "" {
		sizes = "6"
	}
	fmt.Println("daemons engines sent-B/s from-platform-B/s from-engines-B/s writes/s cpu-ms/s heap-MB load-age-s config-s death-s appends/s")
	for field := range strings.SplitSeq(sizes, ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { measureScale(t, n) })
	}
}

// measureScale prints the control cost of a fleet with the given number of daemons and,
// as at the target size, 600 engines for 380 daemons.
func measureScale(t *testing.T, daemons int) {
	c := newCluster(t, 1)
	defer c.close()
	c.adjustSettings = func(s *settings.Settings) {
		s.Timing.ProbeInterval = settings.Duration(scaleProbeInterval)
		s.Timing.StatusInterval = settings.Duration(scaleStatusInterval)
		s.Timing.VMListInterval = settings.Duration(scaleVMListInterval)
	}
	engines := daemons * 600 / 380
	dataCentres := min(scaleDataCentres, daemons/2)
	dataCentre := func(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }
	for i := range engines {
		c.addEngine(fmt.Sprintf("engine-%d", i), dataCentre(i), standin.EngineOptions{})
	}
	startCounts := c.countMessages()
	start := time.Now()
	for i := range daemons {
		c.addDaemon(fmt.Sprintf("daemon-%d", i), dataCentre(i))
	}
	c.publish("r1", 0, document())
	c.awaitReady()
	time.Sleep(scaleStartWindow - time.Since(start))
	c.net.Observe(nil)
	atStart := c.sampleUsage().bytes
	time.Sleep(scaleWarmUp - scaleStartWindow)
	steadyCounts := c.countMessages()
	before := c.sampleUsage()
	time.Sleep(scaleWindow)
	after := c.sampleUsage()
	c.net.Observe(nil)
	perDaemon := 1 / float64(daemons) / scaleWindow.Seconds()
	loadAge := c.meanLoadAge()
	config := c.timeToConfigure()
	death := c.timeToDetectDeath()
	fmt.Printf("%d %d %.0f %.0f %.0f %.1f %.2f %.2f %.2f %.2f %.2f %.2f\n", daemons, engines,
		float64(after.bytes-before.bytes)*perDaemon,
		float64(after.platform-before.platform)*perDaemon,
		float64(after.engines-before.engines)*perDaemon,
		float64(after.writes-before.writes)*perDaemon,
		float64((after.cpu-before.cpu).Microseconds())/1000*perDaemon,
		float64(after.memory)/(1<<20)/float64(daemons),
		loadAge.Seconds(), config.Seconds(), death.Seconds(),
		float64(after.appends-before.appends)/scaleWindow.Seconds())
	perDaemonAtStart := 1 / float64(daemons) / scaleStartWindow.Seconds()
	fmt.Printf(" first minute after a common start: %.0f B/s sent\n", float64(atStart)*perDaemonAtStart)
	startCounts.print(perDaemonAtStart)
	fmt.Println(" steady:")
	steadyCounts.print(perDaemon)
}

// messageCounts counts the bytes and writes of daemons by kind of message.
type messageCounts struct {
	mu     sync.Mutex
	bytes  map[string]int
	writes map[string]int
}

// countMessages counts what daemons write from now on.
func (c *cluster) countMessages() *messageCounts {
	k := &messageCounts{bytes: map[string]int{}, writes: map[string]int{}}
	c.net.Observe(func(from, to string, p []byte) {
		if !strings.HasPrefix(from, "daemon-") {
			return
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		kind := messageKind(to, p)
		k.bytes[kind] += len(p)
		k.writes[kind]++
		if strings.HasPrefix(kind, "peer.probe") {
			k.countParts(p)
		}
	})
	return k
}

// messageKind returns the kind of a message, derived from its first bytes. Messages
// that share a write are counted as the first of them.
func messageKind(to string, p []byte) string {
	line, _, _ := bytes.Cut(p, []byte("\r\n"))
	fields := strings.Fields(string(line))
	switch {
	case !strings.HasPrefix(to, "daemon-") && len(fields) == 3:
		path, _, _ := strings.Cut(fields[1], "?")
		stream, _, _ := strings.Cut(path, "%2F")
		return fields[0] + " " + strings.TrimSuffix(stream, "/records")
	case bytes.Contains(p, []byte(`"result":{"f":`)):
		return "peer.probe answer"
	}
	if _, method, ok := bytes.Cut(p, []byte(`"method":"`)); ok {
		name, _, _ := bytes.Cut(method, []byte(`"`))
		return string(name)
	}
	return "other answers"
}

// countParts adds up the parts of a probe or its response.
func (k *messageCounts) countParts(p []byte) {
	var m struct {
		Params, Result map[string]json.RawMessage
	}
	if json.NewDecoder(bytes.NewReader(p)).Decode(&m) != nil {
		return
	}
	for _, parts := range []map[string]json.RawMessage{m.Params, m.Result} {
		for name, part := range parts {
			k.bytes["  part "+name] += len(part)
			k.writes["  part "+name]++
		}
	}
}

// print prints the kinds with their bytes and writes, each multiplied by perDaemon to give
// the rate per daemon and second.
func (k *messageCounts) print(perDaemon float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(k.bytes)) {
		fmt.Printf("  %-32s %7.1f B/s %6.2f writes/s\n", kind, float64(k.bytes[kind])*perDaemon, float64(k.writes[kind])*perDaemon)
	}
}

// controlUsage is a sample of the resources used since the start. bytes and writes are
// those sent by all daemons, platform and engines the bytes sent by these stand-ins,
// appends those to the log. cpu is the time used by the whole test process, memory the
// memory that it has in use now.
type controlUsage struct {
	bytes, platform, engines, writes, appends int64
	cpu                                       time.Duration
	memory                                    uint64
}

func (c *cluster) sampleUsage() controlUsage {
	var u controlUsage
	for name := range c.daemons {
		u.bytes += c.net.Sent(name).Bytes.Load()
		u.writes += c.net.Sent(name).Writes.Load()
	}
	u.platform = c.net.Sent(platformHost).Bytes.Load()
	for name := range c.engines {
		u.engines += c.net.Sent(name).Bytes.Load()
	}
	u.appends = c.platform.Log.Appends()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		c.t.Fatal(err)
	}
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.memory = m.HeapInuse + m.StackInuse
	return u
}

// meanLoadAge returns the mean age of the load reports that daemons have of the engines
// in their data centre.
func (c *cluster) meanLoadAge() time.Duration {
	total, n := time.Duration(0), 0
	for _, d := range c.daemons {
		for _, u := range d.fleet.allUpstreams() {
			if r := u.Report(); r != nil && u.VM.DataCentre == d.settings.DataCentre {
				total += time.Since(r.Received)
				n++
			}
		}
	}
	return total / time.Duration(max(1, n))
}

// timeToConfigure publishes a revision and returns the time until it is in force at all
// daemons.
func (c *cluster) timeToConfigure() time.Duration {
	start := time.Now()
	c.publish("r2", 1, document())
	c.await("the revision is in force at all daemons", time.Minute, func() bool {
		for _, d := range c.daemons {
			if d.config.Snapshot().Revision != 2 {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

// timeToDetectDeath kills a daemon and returns the time until all others consider it
// dead.
func (c *cluster) timeToDetectDeath() time.Duration {
	const killed = "daemon-1"
	start := time.Now()
	address := c.daemons[killed].settings.Listen.Peer
	_ = c.daemons[killed].Kill()
	delete(c.daemons, killed)
	c.await("all daemons consider the killed daemon dead", 5*time.Minute, func() bool {
		for _, d := range c.daemons {
			m, ok := memberOf(d, address)
			if ok && m.Status != membership.Dead {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}
