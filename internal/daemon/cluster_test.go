package daemon

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/seedtest"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Addresses of the platform and names of hosts on the memory network.
const (
	platformAddress = "10.0.0.1:7000"
	platformHost    = "platform"
	callerHost      = "caller"
)

// Names in the configuration that clusters start with.
const (
	testPool    = "feed-rota"
	testModel   = "feed-rota-7b"
	testProfile = "slot-query"
	confirmPath = "/caretaker/confirm"
)

// cluster is a set of daemons, engines and services on a memory network. It must be
// created inside a synctest bubble.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	net      *standin.MemNet
	platform *standin.Platform
	vms      []port.VM
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	// mu guards daemons while callers run.
	mu      sync.Mutex
	daemons map[string]*Daemon
	servers []*http.Server
	client  *http.Client
	// keyIssuedAt holds the issue times of idempotency keys, as decimal Unix seconds, by
	// key.
	keyIssuedAt sync.Map
	// refusedNotRun holds the completions that were refused as not run. It is guarded
	// by mu.
	refusedNotRun []refusedCall
	// adjustSettings, unless nil, changes the settings of daemons that are started.
	adjustSettings func(*settings.Settings)
	// wrapDependencies, unless nil, replaces dependencies of daemons that are started.
	wrapDependencies func(*Dependencies)
	// adjustDependencies, unless nil, changes the dependencies of daemons that are
	// started, depending on their settings.
	adjustDependencies func(settings.Settings, *Dependencies)
}

// virtualClock is the clock of a synctest bubble. Leases are measured on it.
type virtualClock struct{}

func (virtualClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// inCluster runs f with a new cluster on virtual time and closes the cluster
// afterwards.
func inCluster(t *testing.T, seed uint64, f func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed)
		defer c.close()
		f(c)
	})
}

// forSeeds runs f once per seed, each time with a new cluster.
func forSeeds(t *testing.T, f func(*cluster)) {
	t.Helper()
	seedtest.Run(t, func(t *testing.T, seed uint64) { inCluster(t, seed, f) })
}

// newCluster returns a cluster that has only the platform.
func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		net:      standin.NewMemNet(),
		engines:  map[string]*standin.Engine{},
		services: map[string]*standin.Service{},
		daemons:  map[string]*Daemon{},
	}
	c.platform = standin.NewPlatform(standin.NewLog(0), standin.NewVMList(time.Second, nil))
	c.serve(platformHost, platformAddress, c.platform.Handler())
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:       c.net.Host(callerHost).DialContext,
		DisableKeepAlives: true,
	}}
	return c
}

// serve starts an HTTP server on a host of the memory network. close stops it.
func (c *cluster) serve(host, address string, h http.Handler) {
	l, err := c.net.Host(host).Listen(address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: h, ErrorLog: zap.NewStdLog(zap.NewNop())}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
}

// close kills the daemons and closes all servers and connections, so that no goroutine
// is left in the synctest bubble.
func (c *cluster) close() {
	for _, d := range c.daemons {
		_ = d.Kill()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.client.CloseIdleConnections()
	c.net.CloseAll()
	// net/http keeps a connection open for a while after it refused a body as too
	// large.
	time.Sleep(time.Second)
}

// addEngine starts an engine and adds its VM to the VM list. Its host on the memory
// network has the same name.
func (c *cluster) addEngine(name, dataCentre string, opts standin.EngineOptions) *standin.Engine {
	opts.Name = name
	if opts.Model == "" {
		opts.Model = testModel
	}
	if opts.Role == "" {
		opts.Role = port.RoleMixed
	}
	if opts.TokenTime == 0 {
		opts.TokenTime = 10 * time.Millisecond
	}
	if opts.Capacity == 0 {
		opts.Capacity = 1000
	}
	e := standin.NewEngine(opts)
	c.engines[name] = e
	address := fmt.Sprintf("10.1.%d.%d:7100", len(c.vms)/250, len(c.vms)%250+1)
	c.serve(name, address, e.Handler())
	c.addVM(port.VM{ID: name, Address: address, DataCentre: dataCentre, Kind: port.KindEngine, Pool: testPool, State: port.VMLive})
	return e
}

// addService starts a plain service and adds its VM to the VM list.
func (c *cluster) addService(name, dataCentre string) *standin.Service {
	s := standin.NewService(name)
	c.services[name] = s
	address := fmt.Sprintf("10.2.0.%d:7200", len(c.vms)+1)
	c.serve(name, address, s.Handler())
	c.addVM(port.VM{ID: name, Address: address, DataCentre: dataCentre, Kind: port.KindService, Pool: "caretaker", State: port.VMLive})
	return s
}

func (c *cluster) addVM(vm port.VM) {
	c.vms = append(c.vms, vm)
	c.platform.VMs.Set(c.vms)
}

// setVMState changes the state of a VM. The VM list shows the change after its lag.
func (c *cluster) setVMState(id string, state port.VMState) {
	for i := range c.vms {
		if c.vms[i].ID == id {
			c.vms[i].State = state
		}
	}
	c.platform.VMs.Set(c.vms)
}

// addDaemon starts a daemon and adds its VM to the VM list. Its host on the memory
// network has the same name.
func (c *cluster) addDaemon(name, dataCentre string) *Daemon {
	n := len(c.vms) + 1
	vm := port.VM{
		ID:          name,
		Address:     fmt.Sprintf("10.3.%d.%d:8100", n/250, n%250+1),
		PeerAddress: fmt.Sprintf("10.3.%d.%d:7600", n/250, n%250+1),
		DataCentre:  dataCentre,
		Kind:        port.KindDaemon,
		State:       port.VMLive,
	}
	c.addVM(vm)
	return c.startDaemon(vm)
}

// seededSource returns a source of random bytes that depends only on the seed.
func seededSource(seed uint64) io.Reader {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	return rand.NewChaCha8(key)
}

// startDaemon starts a daemon on a listed VM and replaces one that was killed there.
func (c *cluster) startDaemon(vm port.VM) *Daemon {
	s := settings.Default()
	s.Name = vm.ID
	s.DataCentre = vm.DataCentre
	s.Region = "guj-west"
	s.Listen = settings.Listen{Caller: vm.Address, Peer: vm.PeerAddress}
	url := "http://" + platformAddress
	s.Platform = settings.Platform{Log: url, VMList: url, WeightStore: url}
	if c.adjustSettings != nil {
		c.adjustSettings(&s)
	}
	deps := Connect(s, c.net.Host(vm.ID), zap.NewNop(), "test")
	deps.Seed = c.rng.Uint64()
	deps.Random = seededSource(deps.Seed)
	deps.Clock = virtualClock{}
	if c.wrapDependencies != nil {
		c.wrapDependencies(&deps)
	}
	if c.adjustDependencies != nil {
		c.adjustDependencies(s, &deps)
	}
	d := New(s, deps)
	if err := d.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[vm.ID] = d
	return d
}

// document returns the configuration that clusters start with.
func document() *profile.Document {
	return &profile.Document{
		Ranks: []profile.RankPolicy{
			{Name: profile.Urgent, MinShare: 0.2},
			{Name: profile.Standard, MinShare: 0.3},
			{Name: profile.Background, MinShare: 0.2},
		},
		Pools: []profile.Pool{
			{Name: testPool, Models: []string{testModel, "feed-rota-13b"}, MinServing: 1,
				Roles: []port.Role{port.RoleMixed, port.RolePrefill, port.RoleDecode}},
			{Name: "caretaker"},
		},
		Profiles: []profile.Profile{{
			Name: testProfile, Rank: profile.Urgent, Pool: testPool, Model: testModel,
			FirstTokenMS: 900, TokenMS: 62, TotalMS: 30000, Worth: 1,
			MaxOutputTokens: 4000, MaxPromptTokens: 4000, RetryShare: 0.5,
		}},
		Services: []profile.ServiceRoute{{
			Name: "caretaker", PathPrefix: "/caretaker/", Pool: "caretaker", ClaimWindowS: 3600,
			NonRepeatable: []profile.CallPattern{{Method: http.MethodPost, Path: confirmPath}},
		}},
	}
}

// publish appends a configuration based on revision base directly to the log.
func (c *cluster) publish(id string, base int64, doc *profile.Document) {
	data, err := json.Marshal(doc)
	if err != nil {
		c.t.Fatal(err)
	}
	record, err := json.Marshal(profile.Publication{Schema: profile.SchemaVersion, Base: base, Document: data})
	if err != nil {
		c.t.Fatal(err)
	}
	// An append takes effect even if its response is lost.
	_, _ = c.platform.Log.Append(context.Background(), profile.Stream, []port.Entry{{ID: id, Data: record}})
}

// awaitReady waits on virtual time until all daemons are ready.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.await("all daemons are ready", time.Minute, func() bool {
		for _, d := range c.daemons {
			if !d.Ready() {
				return false
			}
		}
		return true
	})
}

// await waits on virtual time until a condition holds. It fails the test if the
// condition, described by what, does not hold within limit.
func (c *cluster) await(what string, limit time.Duration, condition func() bool) {
	c.t.Helper()
	const step = 50 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += step {
		if condition() {
			return
		}
		time.Sleep(step)
	}
	c.t.Fatalf("condition not met within %s: %s", limit, what)
}

// reply is the response that a caller received, or the error. refusal is set if the
// body is a typed refusal.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	refusal *refusal.BodyError
	err     error
}

// text returns the text of a complete response that is not streamed, or "".
func (r reply) text() string {
	var out completionResponse
	if err := json.Unmarshal(r.body, &out); err != nil || len(out.Choices) == 0 || out.Choices[0].Text == nil {
		return ""
	}
	return *out.Choices[0].Text
}

// do sends one request to a daemon and reads the whole response.
func (c *cluster) do(ctx context.Context, daemon, method, path string, header http.Header, body []byte) reply {
	c.mu.Lock()
	url := "http://" + c.daemons[daemon].settings.Listen.Caller + path
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, header: resp.Header}
	r.body, r.err = io.ReadAll(resp.Body)
	if resp.StatusCode >= 400 {
		var b refusal.Body
		if json.Unmarshal(r.body, &b) == nil && b.Error.Code != "" {
			r.refusal = &b.Error
		}
	}
	return r
}

// complete sends a prompt to a daemon and reads the whole response.
func (c *cluster) complete(daemon, prompt string) reply {
	body, err := json.Marshal(completionRequest{Model: testProfile, Prompt: prompt})
	if err != nil {
		c.t.Fatal(err)
	}
	return c.do(context.Background(), daemon, http.MethodPost, "/v1/completions", nil, body)
}

// confirm sends a non-repeatable call to a daemon. The issue time of a key is the time
// of its first use.
func (c *cluster) confirm(daemon, key, body string) reply {
	issued, _ := c.keyIssuedAt.LoadOrStore(key, strconv.FormatInt(time.Now().Unix(), 10))
	header := http.Header{headerIdempotencyKey: {key}, headerIdempotencyIssued: {issued.(string)}}
	return c.do(context.Background(), daemon, http.MethodPost, confirmPath, header, []byte(body))
}
