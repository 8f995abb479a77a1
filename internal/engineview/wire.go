package engineview

import (
	"encoding/json"

	"bergamotsill.example/bergamotsill/internal/port"
)

// wireChange is the JSON form of a Change. Names are short and fields with their usual
// value are omitted. When all daemons start at once, one is sent for each of 600 engines;
// the JSON of a port.EngineStatus takes three times as many bytes.
type wireChange struct {
	VM    string `json:"v"`
	AgeMS int64  `json:"a"`
	// Engine is nil if the engine's name is the VM's id.
	Engine      *string   `json:"e,omitempty"`
	Incarnation string    `json:"i,omitempty"`
	Model       string    `json:"m,omitempty"`
	Version     string    `json:"n,omitempty"`
	Adapter     string    `json:"d,omitempty"`
	Software    string    `json:"s,omitempty"`
	Role        port.Role `json:"r,omitempty"`
	// Phase is nil while the engine serves.
	Phase      *port.Phase `json:"p,omitempty"`
	Leaving    bool        `json:"l,omitempty"`
	Fencing    int64       `json:"f,omitempty"`
	KVCapacity int64       `json:"k,omitempty"`
	Capacity   int64       `json:"c,omitempty"`
	LastOrder  string      `json:"o,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() ([]byte, error) {
	s := c.Status
	w := wireChange{
		VM:          c.VM,
		AgeMS:       c.AgeMS,
		Incarnation: s.Incarnation,
		Model:       s.Model,
		Version:     s.Version,
		Adapter:     s.Adapter,
		Software:    s.Software,
		Role:        s.Role,
		Leaving:     s.Leaving,
		Fencing:     s.Fencing,
		KVCapacity:  s.KVCapacity,
		Capacity:    s.Capacity,
		LastOrder:   s.LastOrder,
	}
	if s.Engine != c.VM {
		w.Engine = &s.Engine
	}
	if s.Phase != port.PhaseServing {
		w.Phase = &s.Phase
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Change) UnmarshalJSON(data []byte) error {
	var w wireChange
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	engine, phase := w.VM, port.PhaseServing
	if w.Engine != nil {
		engine = *w.Engine
	}
	if w.Phase != nil {
		phase = *w.Phase
	}
	*c = Change{VM: w.VM, AgeMS: w.AgeMS, Status: port.EngineStatus{
		Engine:      engine,
		Incarnation: w.Incarnation,
		Model:       w.Model,
		Version:     w.Version,
		Adapter:     w.Adapter,
		Software:    w.Software,
		Role:        w.Role,
		Phase:       phase,
		Leaving:     w.Leaving,
		Fencing:     w.Fencing,
		KVCapacity:  w.KVCapacity,
		Capacity:    w.Capacity,
		LastOrder:   w.LastOrder,
	}}
	return nil
}
