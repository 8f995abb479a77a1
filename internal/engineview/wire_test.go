package engineview

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against a field that is added to port.EngineStatus and not to wireChange: it
// would be lost between daemons, and the checksums of sender and receiver would differ
// permanently.
func TestChangeTransfersEveryStatusField(t *testing.T) {
	full := port.EngineStatus{}
	fields := reflect.ValueOf(&full).Elem()
	for i := range fields.NumField() {
		switch f := fields.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("value of " + fields.Type().Field(i).Name)
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int, reflect.Int64:
			f.SetInt(int64(i + 1))
		case reflect.Struct:
			f.Set(reflect.ValueOf(time.Unix(1, 0)))
		default:
			t.Fatalf("field %s has kind %s", fields.Type().Field(i).Name, f.Kind())
		}
	}
	serving := full
	serving.Engine, serving.Phase = "vm-1", port.PhaseServing
	for name, status := range map[string]port.EngineStatus{"full": full, "usual": serving, "zero": {}} {
		want := Change{VM: "vm-1", Status: Observation{Status: status}.stableStatus(), AgeMS: 1200}
		data, err := json.Marshal([]Change{want})
		if err != nil {
			t.Fatal(err)
		}
		var got []Change
		if err := json.Unmarshal(data, &got); err != nil || len(got) != 1 || got[0] != want {
			t.Errorf("%s: got %+v, want %+v (%v)", name, got, want, err)
		}
	}
}
