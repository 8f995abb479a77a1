package load

import (
	"os"
	"path/filepath"
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// example is the size of one example as specified in docs/design.md, section 1.6.
type example struct {
	dir         string
	region      string
	dataCentres int
	engines     int
	services    int
}

// Guards against an example that the programs reject, or whose files contradict each
// other.
func TestExamplesAreValid(t *testing.T) {
	examples := []example{
		{"feed-board", "guj-west", 3, 9, 3},
		{"cooperative", "greatlakes", 3, 12, 3},
	}
	for _, e := range examples {
		t.Run(e.dir, func(t *testing.T) {
			dir := filepath.Join("..", "..", "examples", e.dir)
			vms, err := standin.ReadVMs(filepath.Join(dir, "vms.json"))
			if err != nil {
				t.Fatal(err)
			}
			doc := readDocument(t, filepath.Join(dir, "configuration.json"))
			if _, err := ReadTraffic(filepath.Join(dir, "traffic.json"), doc); err != nil {
				t.Error(err)
			}
			e.checkVMs(t, vms, doc)
			e.checkSettings(t, filepath.Join(dir, "settings"), vms)
		})
	}
}

func readDocument(t *testing.T, path string) *profile.Document {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	doc, list := profile.ParseDocument(path, data)
	if err := list.Err(); err != nil {
		t.Fatal(err)
	}
	if len(doc.Ranks) != len(profile.Ranks) {
		t.Errorf("%s: %d ranks, want all %d", path, len(doc.Ranks), len(profile.Ranks))
	}
	return doc
}

func (e example) checkVMs(t *testing.T, vms []port.VM, doc *profile.Document) {
	t.Helper()
	pools := map[string]bool{}
	for _, p := range doc.Pools {
		pools[p.Name] = true
	}
	kinds := map[port.VMKind]int{}
	dataCentres := map[string]bool{}
	used := map[string]string{}
	for _, vm := range vms {
		kinds[vm.Kind]++
		dataCentres[vm.DataCentre] = true
		if vm.Kind != port.KindDaemon && !pools[vm.Pool] {
			t.Errorf("VM %s is in pool %q, which the configuration does not have", vm.ID, vm.Pool)
		}
		for _, address := range []string{vm.Address, vm.PeerAddress} {
			if other, ok := used[address]; ok && address != "" {
				t.Errorf("VMs %s and %s both use %s", other, vm.ID, address)
			}
			used[address] = vm.ID
		}
	}
	if kinds[port.KindEngine] != e.engines || kinds[port.KindService] != e.services || len(dataCentres) != e.dataCentres {
		t.Errorf("VM list has %v in %d data centres, want %d engines, %d services, %d data centres",
			kinds, len(dataCentres), e.engines, e.services, e.dataCentres)
	}
}

func (e example) checkSettings(t *testing.T, dir string, vms []port.VM) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	daemons := 0
	for _, vm := range vms {
		if vm.Kind != port.KindDaemon {
			continue
		}
		daemons++
		s, err := settings.Load(filepath.Join(dir, vm.ID+".json"))
		if err != nil {
			t.Error(err)
			continue
		}
		listed := settings.Listen{Caller: vm.Address, Peer: vm.PeerAddress}
		if s.Name != vm.ID || s.DataCentre != vm.DataCentre || s.Listen != listed || s.Region != e.region {
			t.Errorf("settings of %s disagree with the VM list: %+v", vm.ID, s)
		}
	}
	if len(files) != daemons || daemons < 6 || daemons > 7 {
		t.Errorf("%d settings files for %d daemons, want 6 or 7 of each", len(files), daemons)
	}
}
