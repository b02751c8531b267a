package events

import "github.com/sirupsen/logrus"

// Events of the usage report.
const (
	UsageHeld        Code = 900
	UsageLost        Code = 901
	UsageReleased    Code = 902
	UsageIncomplete  Code = 903
	UsageMissed      Code = 904
	UsageRefused     Code = 905
	UsageStoreFailed Code = 906
)

var usageEvents = map[Code]Definition{
	UsageHeld:        {"usage-held", logrus.InfoLevel, "This node took the usage report over under a generation; through is the last window of which a report was written, unsent the number of reports that it repeats."},
	UsageLost:        {"usage-lost", logrus.WarnLevel, "This node held the usage report and found that another node has taken it over, the field holder; it sends no more reports."},
	UsageReleased:    {"usage-released", logrus.InfoLevel, "This node gave the usage report up because it stops or cannot reach the API; recorded says whether the store has that, else its successor waits for the lease."},
	UsageIncomplete:  {"usage-incomplete", logrus.WarnLevel, "The report of a window lacks counts of some hosts, which did not answer in time; missing is their number, first the address of one."},
	UsageMissed:      {"usage-missed", logrus.ErrorLevel, "The windows from window on are not reported; the field reason gives the cause."},
	UsageRefused:     {"usage-refused", logrus.WarnLevel, "The API did not accept the report of a window; the same report is sent again, with growing delays."},
	UsageStoreFailed: {"usage-store-failed", logrus.WarnLevel, "A read or a write of the record of the usage report failed, or another node wrote it first; it is repeated with growing delays."},
}
