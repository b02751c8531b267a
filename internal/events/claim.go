package events

import "github.com/sirupsen/logrus"

// Claim events, 600 to 699.
const (
	ClaimSeatsActive   Code = 600
	ClaimSeatsAppended Code = 601
	ClaimSeatsStuck    Code = 602
)

var claimEvents = map[Code]Definition{
	ClaimSeatsActive:   {"claim-seats-active", logrus.InfoLevel, "This node has restored the claims of seats that it holds and now grants claims for them; the field groups counts the groups of these seats, and claims the claims that the node holds."},
	ClaimSeatsAppended: {"claim-seats-appended", logrus.InfoLevel, "This node appended changes of claim seats to the log; the field op gives the kind of change: found (first assignment), replace or active."},
	ClaimSeatsStuck:    {"claim-seats-stuck", logrus.WarnLevel, "Two holders of a claim group are lost; requests with an idempotency key in these groups are refused until one of the holders returns at its address. The field groups counts the groups."},
}
