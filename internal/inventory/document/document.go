// Package document parses and checks the inventory and rules files that operators write. Nodes do
// not need it, since the records that they apply were checked before they were published.
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

// Parse decodes and checks an inventory. Its error is a fault.List that has the path of each faulty
// field.
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

// ParseRules decodes rules and checks them against their schema. Its error is a fault.List.
// Inventory.CheckRules does the checks that depend on the inventory.
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
