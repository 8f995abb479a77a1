package daemon

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// Stages of the records that explain a request.
const (
	stageAdmission = "admission"
	stageRouting   = "routing"
	stageResult    = "result"
)

// recordDecision adds a record about a request.
func (d *Daemon) recordDecision(id, stage, verdict string, inputs ...decision.Input) {
	d.decisions.Add(decision.Record{Time: time.Now(), Subject: id, Stage: stage, Outcome: verdict, Inputs: inputs})
}

// recordAdmission records how a request was admitted or why it was refused. The
// permit is nil when it was refused.
func (d *Daemon) recordAdmission(g *generation, p *permit, err error) {
	inputs := []decision.Input{
		decision.In("profile", g.profile.Name),
		decision.In("rank", g.profile.Rank),
		decision.In("organisation", g.call.organisation),
		decision.In("revision", g.snapshot.Revision),
		decision.In("prompt-bytes", len(g.prompt)),
		decision.In("max-tokens", g.maxTokens),
		decision.In("waited-ms", time.Since(g.call.started).Milliseconds()),
		decision.In("capacity-share", d.admission.share()),
	}
	if err != nil {
		d.recordDecision(g.call.id, stageAdmission, "refused", append(inputs, refusalInputs(err)...)...)
		return
	}
	inputs = append(inputs,
		decision.In("prompt-tokens", p.request.PromptTokens),
		decision.In("predicted-output-tokens", p.predictedOutput),
		decision.In("engine-priority", p.priority()),
	)
	d.recordDecision(g.call.id, stageAdmission, p.admissionOutcome(), inputs...)
}

// admissionOutcome names the way in which a request was admitted.
func (p *permit) admissionOutcome() string {
	switch {
	case p.remote:
		return "admitted-elsewhere"
	case p.ticket == nil:
		return "not-limited"
	case p.ticket.Guaranteed():
		return "admitted-by-minimum-share"
	}
	return "admitted"
}

// recordRoute records which engine an attempt goes to, nil for none, with what was
// predicted for it.
func (d *Daemon) recordRoute(g *generation, u *routing.Upstream) {
	inputs := []decision.Input{
		decision.In("attempt", g.attempt+1),
		decision.In("engine-request-id", g.engineRequestID),
		decision.In("position", g.assembler.Next()),
		decision.In("excluded-engines", len(g.excluded)),
	}
	if u == nil {
		d.recordDecision(g.call.id, stageRouting, "none", inputs...)
		return
	}
	inputs = append(inputs,
		decision.In("data-centre", u.VM.DataCentre),
		decision.In("in-flight", u.InFlight()),
	)
	if r := u.Report(); r != nil {
		inputs = append(inputs,
			decision.In("queued-prefill-tokens", r.Status.QueuedPrefillTokens),
			decision.In("running-tokens", r.Status.RunningTokens),
			decision.In("report-age-ms", time.Since(r.Received).Milliseconds()),
		)
	}
	if c := g.choice; c.Upstream == u {
		inputs = append(inputs,
			decision.In("predicted-first-token-ms", c.FirstToken.Milliseconds()),
			decision.In("home-of-prefix", c.PrefixAffinity),
		)
	}
	d.recordDecision(g.call.id, stageRouting, u.VM.ID, inputs...)
}

// recordResult records how a call ended.
func (d *Daemon) recordResult(c *call, err error) {
	duration := decision.In("duration-ms", time.Since(c.started).Milliseconds())
	if err == nil {
		d.recordDecision(c.id, stageResult, "answered", duration)
		return
	}
	d.recordDecision(c.id, stageResult, "refused", append(refusalInputs(err), duration)...)
}

// refusalInputs returns what a refusal says.
func refusalInputs(err error) []decision.Input {
	r := refusal.From(err)
	return []decision.Input{
		decision.In("code", r.Code),
		decision.In("outcome", r.Outcome),
		decision.In("detail", r.Message),
	}
}
