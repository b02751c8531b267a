// Package document reads the files that operators write. Nodes do not need it: what they
// fold was checked before.
package document

import (
	_ "embed"
	"encoding/json"

	"celerybank/internal/fault"
	"celerybank/internal/inventory"
	"celerybank/internal/schema"
)

//go:embed inventory.schema.json
var inventorySchemaText []byte

//go:embed rules.schema.json
var rulesSchemaText []byte

var (
	inventorySchema = schema.Compile("inventory.schema.json", inventorySchemaText)
	rulesSchema     = schema.Compile("rules.schema.json", rulesSchemaText)
)

// Parse reads an inventory. Faults are fault.List with the path of each field.
func Parse(text []byte) (inventory.Inventory, error) {
	var inv inventory.Inventory
	if faults := schema.Check(inventorySchema, text); faults != nil {
		return inv, faults
	}
	if err := json.Unmarshal(text, &inv); err != nil {
		return inv, fault.List{{Reason: err.Error()}}
	}
	if faults := inv.Check(); faults != nil {
		return inv, faults
	}
	return inv, nil
}

// ParseRules reads rules; CheckRules finds what depends on the inventory.
func ParseRules(text []byte) (inventory.Rules, error) {
	var r inventory.Rules
	if faults := schema.Check(rulesSchema, text); faults != nil {
		return r, faults
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fault.List{{Reason: err.Error()}}
	}
	return r, nil
}
