package daemon

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// Stages of the decision records of a request.
const (
	stageAdmission = "admission"
	stageRouting   = "routing"
	stageResult    = "result"
)

// recordDecision adds a decision record about the request with the given id.
func (d *Daemon) recordDecision(id, stage, outcome string, inputs ...decision.Input) {
	d.decisions.Add(decision.Record{Time: time.Now(), Subject: id, Stage: stage, Outcome: outcome, Inputs: inputs})
}

// recordAdmission records how a request was admitted or why it was refused. The permit is
// nil if it was refused.
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

// admissionOutcome returns how a request was admitted, as shown in its decision record.
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

// recordRoute records the engine that was selected for an attempt, or nil for none, and
// the inputs and prediction of the routing decision.
func (d *Daemon) recordRoute(g *generation, u *routing.Upstream) {
	inputs := []decision.Input{
		decision.In("attempt", g.attempt+1),
		decision.In("engine-request-id", g.engineRequestID),
		decision.In("position", g.assembler.Next()),
		decision.In("excluded-engines", len(g.excluded)),
	}
	if software := g.software.Load(); software != nil {
		inputs = append(inputs, decision.In("software-version", *software))
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

// refusalInputs returns the code, outcome and message of a refusal as inputs.
func refusalInputs(err error) []decision.Input {
	r := refusal.From(err)
	return []decision.Input{
		decision.In("code", r.Code),
		decision.In("outcome", r.Outcome),
		decision.In("detail", r.Message),
	}
}
