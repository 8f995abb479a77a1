package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/handover"
	"bergamotsill.example/bergamotsill/internal/port"
)

// methodReach asks a daemon whether it takes requests for services whose runners the caller does not
// reach.
const methodReach = "gateway.reach"

const (
	// askInterval is how often other daemons are asked while this one may not reach a service.
	askInterval = 300 * time.Millisecond
	// askTimeout bounds a question. What a daemon said before is dropped after it.
	askTimeout = 700 * time.Millisecond
)

// reachQuestion names the services for which the caller needs a receiver.
type reachQuestion struct {
	Services []string `json:"services"`
}

// receivers knows to which daemons requests can be handed on. Daemons are asked only while this one may
// not reach the runners of a service. It is safe for concurrent use.
type receivers struct {
	peers     *peers
	reach     *runnerReach
	directory *handover.Directory
	// self returns what this daemon says of itself, apart from the services that it reaches.
	self func() handover.Status

	mu sync.Mutex
	// asked holds the daemons that have not answered the last question yet.
	asked map[string]bool
	// present holds, for each daemon that has answered, a context that is cancelled when it does not
	// answer any more.
	present map[string]presence
}

// presence is the time in which a daemon answers questions.
type presence struct {
	ctx context.Context
	end context.CancelFunc
}

func newReceivers(p *peers, r *runnerReach, self func() handover.Status) *receivers {
	return &receivers{
		peers: p, reach: r, self: self, directory: handover.NewDirectory(handover.Daemon{Name: p.name, DataCentre: p.dataCentre}),
		asked: map[string]bool{}, present: map[string]presence{},
	}
}

// ask asks some daemons about services.
func (r *receivers) ask(ctx context.Context, services []string) {
	links := map[string]*peerLink{}
	var daemons []handover.Daemon
	r.peers.mu.Lock()
	for _, l := range r.peers.links {
		if l.responds() {
			links[l.name] = l
			daemons = append(daemons, handover.Daemon{Name: l.name, DataCentre: l.dataCentre})
		}
	}
	r.peers.mu.Unlock()
	for _, name := range r.directory.Ask(time.Now(), daemons) {
		if r.beginQuestion(name) {
			go r.peers.runRecovered(methodReach, func() { r.askOne(ctx, links[name], services) })
		}
	}
}

// beginQuestion reports whether a daemon may be asked, because it has answered the last question.
func (r *receivers) beginQuestion(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asked[name] {
		return false
	}
	r.asked[name] = true
	return true
}

func (r *receivers) askOne(ctx context.Context, l *peerLink, services []string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var w handover.Status
	began := time.Now()
	err := l.client.Call(ctx, methodReach, reachQuestion{Services: services}, &w)
	r.peers.recordCallResult(l, err, time.Since(began))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, l.name)
	if err != nil {
		r.directory.Forget(l.name)
		if p, ok := r.present[l.name]; ok {
			p.end()
			delete(r.present, l.name)
		}
		return
	}
	r.directory.Update(time.Now(), handover.Daemon{Name: l.name, DataCentre: l.dataCentre}, w)
	if _, ok := r.present[l.name]; !ok {
		ctx, end := context.WithCancel(context.Background())
		r.present[l.name] = presence{ctx: ctx, end: end}
	}
	r.peers.learnOfConfig(l.name, l.address, w.Config)
}

// presenceOf returns a context that is cancelled when a daemon does not answer any more.
func (r *receivers) presenceOf(name string) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.present[name]; ok {
		return p.ctx
	}
	return context.Background()
}

// handle answers the question of a peer.
func (r *receivers) handle(_ context.Context, params json.RawMessage) (any, error) {
	var q reachQuestion
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	w := r.self()
	if w.Address != "" {
		w.Reached = r.reach.recentlyReached(q.Services)
	}
	return w, nil
}

// receiverStatus returns what this daemon says of itself as a receiver of requests.
func (g *Gateway) receiverStatus() handover.Status {
	if !g.Ready() {
		return handover.Status{}
	}
	return handover.Status{Address: g.settings.Load().Listen.Handovers, Load: g.gate.requests(), Config: g.config.version()}
}

// note returns what the receiver of the request has to know.
func (c *call) note() port.Handover {
	s := c.gateway.settings.Load()
	return port.Handover{
		From: s.Name, ElapsedMS: time.Since(c.request.Received).Milliseconds(), RemainingMS: c.request.Remaining.Milliseconds(),
		ConfigVersion: c.configVersion, ConfigFrom: s.Listen.Peers, Sends: c.sends, Executions: c.executions, Counted: c.counted,
		Prefilled: c.prefilled, Arrived: c.arrived, Organisation: c.request.Organisation,
	}
}
