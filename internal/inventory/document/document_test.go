package document

import (
	"encoding/json"
	"strings"
	"testing"

	"celerybank/internal/inventory"
)

// validInventory returns an inventory without faults: orders depends on stock.
func validInventory() inventory.Inventory {
	route := []inventory.Route{{Name: "show", Method: "GET", Path: "/", Idempotent: true}}
	return inventory.Inventory{Mesh: "m", Zones: []inventory.Zone{{Name: "a"}, {Name: "b"}}, Services: []inventory.Service{
		{Name: "orders", InitialVersion: "v1", DependsOn: []string{"stock"}, Routes: route},
		{Name: "stock", InitialVersion: "v1", Routes: route},
	}}
}

func TestFaultsOfAnInventoryAreNamed(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*inventory.Inventory)
		want   string
	}{
		"duplicate service":  {func(i *inventory.Inventory) { i.Services[1].Name = "orders" }, "services[1].name: duplicate service orders"},
		"duplicate zone":     {func(i *inventory.Inventory) { i.Zones[1].Name = "a" }, "zones[1].name"},
		"unknown dependency": {func(i *inventory.Inventory) { i.Services[0].DependsOn[0] = "stoc" }, "services[0].depends_on[0]: unknown service stoc"},
		"cycle":              {func(i *inventory.Inventory) { i.Services[1].DependsOn = []string{"orders"} }, "dependency cycle orders -> stock -> orders"},
		"self dependency":    {func(i *inventory.Inventory) { i.Services[1].DependsOn = []string{"stock"} }, "dependency cycle stock -> stock"},
		"duplicate route match": {func(i *inventory.Inventory) {
			i.Services[0].Routes = append(i.Services[0].Routes, inventory.Route{Name: "other", Method: "GET", Path: "/"})
		}, "services[0].routes[1].path"},
	} {
		t.Run(name, func(t *testing.T) {
			inv := validInventory()
			tc.change(&inv)
			text, err := json.Marshal(inv)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("Parse: got error %v, want %q", err, tc.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	text, err := json.Marshal(validInventory())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"mesh": "m", "zones": [{}], "services": []}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		inv, err := Parse(text)
		if err == nil && inv.Check() != nil {
			t.Fatalf("Parse accepted an inventory that Check rejects: %s", text)
		}
	})
}
