// Package profile defines the configuration document that operators publish and decides
// which published revision is in force.
package profile

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Rank orders requests by urgency.
type Rank string

// Ranks, most urgent first.
const (
	Urgent     Rank = "urgent"
	Standard   Rank = "standard"
	Background Rank = "background"
)

// Ranks lists all ranks, most urgent first.
var Ranks = []Rank{Urgent, Standard, Background}

// Priority returns the rank's place in Ranks; lower is more urgent.
func (r Rank) Priority() int { return slices.Index(Ranks, r) }

// RankPolicy configures one rank.
type RankPolicy struct {
	// Name is urgent, standard or background.
	Name Rank `json:"name"`
	// MinShare is the share of a data centre's capacity, 0 to 1, that is reserved for
	// the rank while it has requests.
	MinShare float64 `json:"min_share"`
}

// Pool describes the engines, or the services, of one pool.
type Pool struct {
	// Name is the pool's name on the VM list.
	Name string `json:"name"`
	// Models are the models that the pool's engines may load.
	Models []string `json:"models,omitempty"`
	// ChecksFencing is set if the pool's engines refuse orders with an old fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MinServing is the number of engines per data centre that must stay in service
	// while an engine changes its model or role.
	MinServing int `json:"min_serving,omitempty"`
	// Roles are the roles that the engines may take; empty means mixed only.
	Roles []port.Role `json:"roles,omitempty"`
	// Versions are the model versions that engines must run. Engines with a model that
	// has no entry keep the loaded version. Since schema version 2.
	Versions []ModelVersion `json:"versions,omitempty"`
	// Speeds are the speeds of an engine in each role. Engines change role with the mix
	// of prompt and output tokens only if the speed of every role of the pool is given.
	// Since schema version 3.
	Speeds []RoleSpeed `json:"speeds,omitempty"`
}

// RoleSpeed is the speed of one engine in a role, in tokens per second, while it
// either only prefills or only generates.
type RoleSpeed struct {
	// Role is one of the pool's roles.
	Role port.Role `json:"role"`
	// PromptTokens is the number of prompt tokens prefilled per second.
	PromptTokens float64 `json:"prompt_tokens"`
	// OutputTokens is the number of output tokens generated per second.
	OutputTokens float64 `json:"output_tokens"`
}

// ModelVersion is the version that engines with a model must run.
type ModelVersion struct {
	// Model is one of the pool's models.
	Model string `json:"model"`
	// Version is the version that engines with the model must load.
	Version string `json:"version"`
}

// Version returns the version that engines with the model must run, "" if there is no
// entry.
func (p *Pool) Version(model string) string {
	for _, v := range p.Versions {
		if v.Model == model {
			return v.Version
		}
	}
	return ""
}

// Withdrawn lists the upstreams that receive no new requests.
type Withdrawn struct {
	// Upstreams are the VM ids of withdrawn upstreams.
	Upstreams []string `json:"upstreams,omitempty"`
	// DataCentres are the data centres of which all upstreams are withdrawn.
	DataCentres []string `json:"data_centres,omitempty"`
}

// Profile describes one kind of request and how it is served.
type Profile struct {
	// Name is the value of the field model in callers' requests.
	Name string `json:"name"`
	// Rank is urgent, standard or background.
	Rank Rank `json:"rank"`
	// Pool names the pool whose engines serve the profile.
	Pool string `json:"pool"`
	// Model is the model that serves the profile; the pool must list it.
	Model string `json:"model"`
	// FirstTokenMS, TokenMS and TotalMS are latency targets in milliseconds: until the
	// first token, between tokens, and for the whole response.
	FirstTokenMS int64 `json:"first_token_ms"`
	TokenMS      int64 `json:"token_ms"`
	TotalMS      int64 `json:"total_ms"`
	// Worth is the weight of a response that meets its target.
	Worth float64 `json:"worth"`
	// MaxOutputTokens bounds the length of the output, MaxPromptTokens that of the
	// prompt.
	MaxOutputTokens int `json:"max_output_tokens"`
	MaxPromptTokens int `json:"max_prompt_tokens"`
	// RetryShare bounds the number of retries, as a share, 0 to 1, of first attempts.
	RetryShare float64 `json:"retry_share"`
}

// CallPattern matches calls by method and path.
type CallPattern struct {
	// Method is POST, PUT, PATCH or DELETE.
	Method string `json:"method"`
	// Path is the whole path, without a query.
	Path string `json:"path"`
}

// ServiceRoute maps a path prefix to a pool of plain services.
type ServiceRoute struct {
	// Name identifies the route in logs and refusals.
	Name string `json:"name"`
	// PathPrefix selects the calls of the route; the longest prefix wins.
	PathPrefix string `json:"path_prefix"`
	// Pool names the pool of services that serve the route.
	Pool string `json:"pool"`
	// ClaimWindowS is how long an idempotency key is kept, in seconds.
	ClaimWindowS int64 `json:"claim_window_s"`
	// NonRepeatable lists the calls that run at most once per idempotency key.
	NonRepeatable []CallPattern `json:"non_repeatable,omitempty"`
}

// Repeatable reports whether a call may run more than once.
func (s *ServiceRoute) Repeatable(method, path string) bool {
	return !slices.Contains(s.NonRepeatable, CallPattern{Method: method, Path: path})
}

// Organisation sets an organisation's weight within a rank.
type Organisation struct {
	// Name is the value of the header Bergamot-Organisation in callers' requests.
	Name string `json:"name"`
	// Weight is the organisation's share relative to other organisations. Unlisted
	// organisations have weight 1.
	Weight float64 `json:"weight"`
}

// Document is one whole configuration.
type Document struct {
	// Ranks are the policies of the ranks; one without a policy has no minimum share.
	Ranks []RankPolicy `json:"ranks"`
	// Pools are the pools of engines and of services.
	Pools []Pool `json:"pools"`
	// Profiles are the kinds of request that callers may name.
	Profiles []Profile `json:"profiles"`
	// Services are the routes to plain services.
	Services []ServiceRoute `json:"services,omitempty"`
	// Organisations are the organisations with a weight other than 1.
	Organisations []Organisation `json:"organisations,omitempty"`
	// Withdrawn lists the upstreams that receive no new requests. Since schema version 2.
	Withdrawn Withdrawn `json:"withdrawn,omitzero"`
}

// SchemaVersion is the newest schema version of Document that this program supports.
// The rules of a published version never change, because all daemons must make the same
// decision about a record; a new field or rule needs a new version. Version 3 adds
// Publication.Changes and pools[].speeds.
const SchemaVersion = 3

// wholeDocumentSchema is the schema version of published documents without newer fields,
// so that programs with version 2 apply them directly.
const wholeDocumentSchema = 2

// SchemaOf returns the schema version with which a whole document is published: the
// lowest one, from 2 on, that has all fields of the document.
func SchemaOf(data json.RawMessage) int {
	newer := &findings.List{}
	checkNoVersion3Fields(newer, data)
	if len(newer.Items()) > 0 {
		return SchemaVersion
	}
	return wholeDocumentSchema
}

// ParseDocument decodes a document and checks it by the rules of the newest schema
// version. The list holds all findings.
func ParseDocument(file string, data []byte) (*Document, *findings.List) {
	return ParseVersion(SchemaVersion, file, data)
}

// ParseVersion decodes a document and checks it by the rules of a schema version
// between 1 and SchemaVersion.
func ParseVersion(schema int, file string, data []byte) (*Document, *findings.List) {
	doc := &Document{}
	list := findings.Decode(file, data, doc)
	if schema < 2 {
		checkNoVersion2Fields(list, data)
	}
	if schema < 3 {
		checkNoVersion3Fields(list, data)
	}
	doc.check(list)
	return doc, list
}

// checkNoVersion2Fields adds a finding for each field of schema version 2, which
// programs with schema version 1 refuse as unknown.
func checkNoVersion2Fields(list *findings.List, data []byte) {
	var newer struct {
		Withdrawn json.RawMessage `json:"withdrawn"`
		Pools     []struct {
			Versions json.RawMessage `json:"versions"`
		} `json:"pools"`
	}
	// A document of another shape has findings already.
	_ = json.Unmarshal(data, &newer)
	if newer.Withdrawn != nil {
		list.Add("withdrawn", "requires schema version 2")
	}
	for i, p := range newer.Pools {
		if p.Versions != nil {
			list.Add(fmt.Sprintf("pools[%d].versions", i), "requires schema version 2")
		}
	}
}

// checkNoVersion3Fields adds a finding for each field of schema version 3, which
// programs with schema version 2 refuse as unknown.
func checkNoVersion3Fields(list *findings.List, data []byte) {
	var newer struct {
		Pools []struct {
			Speeds json.RawMessage `json:"speeds"`
		} `json:"pools"`
	}
	// A document of another shape has findings already.
	_ = json.Unmarshal(data, &newer)
	for i, p := range newer.Pools {
		if p.Speeds != nil {
			list.Add(fmt.Sprintf("pools[%d].speeds", i), "requires schema version 3")
		}
	}
}

func (d *Document) check(list *findings.List) {
	d.checkRanks(list)
	pools := d.checkPools(list)
	d.checkProfiles(list, pools)
	d.checkServices(list, pools)
	d.checkOrganisations(list)
	d.checkWithdrawn(list)
}

// nameChecker adds findings for empty and duplicate names of one section.
type nameChecker struct {
	list    *findings.List
	section string
	seen    map[string]int
}

func newNameChecker(list *findings.List, section string) *nameChecker {
	return &nameChecker{list: list, section: section, seen: map[string]int{}}
}

// add checks the name of item i and returns the path of the item in the document.
func (n *nameChecker) add(i int, name string) string {
	place := fmt.Sprintf("%s[%d]", n.section, i)
	if name == "" {
		n.list.Add(place+".name", "is required")
		return place
	}
	if first, ok := n.seen[name]; ok {
		n.list.Add(place+".name", "duplicate name %q, first used at %s[%d]", name, n.section, first)
		return place
	}
	n.seen[name] = i
	return place
}

func (d *Document) checkRanks(list *findings.List) {
	seen := newNameChecker(list, "ranks")
	total := 0.0
	for i, r := range d.Ranks {
		place := seen.add(i, string(r.Name))
		checkRank(list, place+".name", r.Name)
		checkShare(list, place+".min_share", r.MinShare)
		total += r.MinShare
	}
	if total > 1 {
		list.Add("ranks", "minimum shares add up to %g, more than 1", total)
	}
}

func (d *Document) checkPools(list *findings.List) map[string]*Pool {
	if len(d.Pools) == 0 {
		list.Add("pools", "at least one pool is required")
	}
	seen := newNameChecker(list, "pools")
	pools := map[string]*Pool{}
	for i := range d.Pools {
		p := &d.Pools[i]
		place := seen.add(i, p.Name)
		pools[p.Name] = p
		if p.MinServing < 0 {
			list.Add(place+".min_serving", "must not be negative")
		}
		for j, r := range p.Roles {
			switch r {
			case port.RoleMixed, port.RolePrefill, port.RoleDecode:
			default:
				list.Add(fmt.Sprintf("%s.roles[%d]", place, j), "unknown role %q", r)
			}
		}
		p.checkVersions(list, place)
		p.checkSpeeds(list, place)
	}
	return pools
}

func (p *Pool) checkVersions(list *findings.List, place string) {
	seen := newNameChecker(list, place+".versions")
	for i, v := range p.Versions {
		place := seen.add(i, v.Model)
		if !slices.Contains(p.Models, v.Model) {
			list.Add(place+".model", "model %q is not in pool %q", v.Model, p.Name)
		}
		if v.Version == "" {
			list.Add(place+".version", "is required")
		}
	}
}

func (p *Pool) checkSpeeds(list *findings.List, place string) {
	seen := map[port.Role]bool{}
	for i, s := range p.Speeds {
		place := fmt.Sprintf("%s.speeds[%d]", place, i)
		if !slices.Contains(p.Roles, s.Role) {
			list.Add(place+".role", "role %q is not a role of pool %q", s.Role, p.Name)
		}
		if seen[s.Role] {
			list.Add(place+".role", "duplicate role %q", s.Role)
		}
		seen[s.Role] = true
		checkSpeed(list, place+".prompt_tokens", s.PromptTokens)
		checkSpeed(list, place+".output_tokens", s.OutputTokens)
	}
}

// maxSpeed is far above the speed of one engine and keeps sums of speeds exact.
const maxSpeed = 1e9

func checkSpeed(list *findings.List, path string, v float64) {
	if v <= 0 || v > maxSpeed {
		list.Add(path, "must be greater than 0 and at most %g, found %g", float64(maxSpeed), v)
	}
}

func (d *Document) checkWithdrawn(list *findings.List) {
	upstreams := newNameChecker(list, "withdrawn.upstreams")
	for i, id := range d.Withdrawn.Upstreams {
		upstreams.add(i, id)
	}
	dataCentres := newNameChecker(list, "withdrawn.data_centres")
	for i, name := range d.Withdrawn.DataCentres {
		dataCentres.add(i, name)
	}
}

func (d *Document) checkProfiles(list *findings.List, pools map[string]*Pool) {
	if len(d.Profiles) == 0 {
		list.Add("profiles", "at least one profile is required")
	}
	seen := newNameChecker(list, "profiles")
	for i, p := range d.Profiles {
		place := seen.add(i, p.Name)
		checkRank(list, place+".rank", p.Rank)
		pool, ok := pools[p.Pool]
		if !ok {
			list.Add(place+".pool", "unknown pool %q", p.Pool)
		} else if !slices.Contains(pool.Models, p.Model) {
			list.Add(place+".model", "model %q is not in pool %q", p.Model, p.Pool)
		}
		checkPositive(list, place+".first_token_ms", p.FirstTokenMS)
		checkPositive(list, place+".token_ms", p.TokenMS)
		checkPositive(list, place+".total_ms", p.TotalMS)
		checkPositive(list, place+".max_output_tokens", int64(p.MaxOutputTokens))
		checkPositive(list, place+".max_prompt_tokens", int64(p.MaxPromptTokens))
		checkShare(list, place+".retry_share", p.RetryShare)
		if p.Worth <= 0 {
			list.Add(place+".worth", "must be greater than 0")
		}
	}
}

func (d *Document) checkServices(list *findings.List, pools map[string]*Pool) {
	seen := newNameChecker(list, "services")
	for i := range d.Services {
		s := &d.Services[i]
		place := seen.add(i, s.Name)
		if _, ok := pools[s.Pool]; !ok {
			list.Add(place+".pool", "unknown pool %q", s.Pool)
		}
		if !strings.HasPrefix(s.PathPrefix, "/") || strings.HasPrefix(s.PathPrefix, "/v1/") {
			list.Add(place+".path_prefix", "must start with / and not with /v1/, found %q", s.PathPrefix)
		}
		if len(s.NonRepeatable) > 0 {
			checkPositive(list, place+".claim_window_s", s.ClaimWindowS)
		}
		for j, c := range s.NonRepeatable {
			checkCall(list, fmt.Sprintf("%s.non_repeatable[%d]", place, j), c, s.PathPrefix)
		}
	}
}

func checkCall(list *findings.List, place string, c CallPattern, prefix string) {
	switch c.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		list.Add(place+".method", "expected POST, PUT, PATCH or DELETE, found %q", c.Method)
	}
	if !strings.HasPrefix(c.Path, prefix) {
		list.Add(place+".path", "does not start with the route's prefix %q", prefix)
	}
}

func (d *Document) checkOrganisations(list *findings.List) {
	seen := newNameChecker(list, "organisations")
	for i, o := range d.Organisations {
		place := seen.add(i, o.Name)
		if o.Weight <= 0 {
			list.Add(place+".weight", "must be greater than 0")
		}
	}
}

func checkRank(list *findings.List, path string, r Rank) {
	if r.Priority() < 0 {
		list.Add(path, "expected urgent, standard or background, found %q", r)
	}
}

func checkShare(list *findings.List, path string, v float64) {
	if v < 0 || v > 1 {
		list.Add(path, "must be between 0 and 1, found %g", v)
	}
}

func checkPositive(list *findings.List, path string, v int64) {
	if v <= 0 {
		list.Add(path, "must be greater than 0")
	}
}
