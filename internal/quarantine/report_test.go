package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a report that loses a digest or its clearing when many were in
// flight at one crash, and against a checksum that hides a difference.
func TestCrashReportsCarryEveryChange(t *testing.T) {
	now := time.Unix(0, 0)
	opts := Options{MaxEntries: 2 * maxReportDigests, Hold: time.Minute}
	sender, receiver := NewTable(opts), NewTable(opts)
	digest := func(i int) Digest { return Digest(fmt.Sprint(i)) }
	const count = maxReportDigests + 3
	for i := range count {
		sender.Abandon(sender.Begin(digest(i), "engine-1", "first"), now)
	}
	sender.ObserveUnreachable("engine-1", now, now)
	report := func() (crashes, digests int) {
		for {
			changed := sender.TakeChanges(now)
			if len(changed) == 0 {
				return crashes, digests
			}
			for _, c := range changed {
				crashes++
				digests += len(c.Digests)
				if len(c.Digests) > maxReportDigests {
					t.Errorf("a report has %d digests", len(c.Digests))
				}
			}
			receiver.Merge(Report{Crashes: changed}, now)
		}
	}
	if crashes, digests := report(); crashes != 2 || digests != count {
		t.Errorf("%d digests are reported in %d crashes, want %d in 2", digests, crashes, count)
	}
	if sender.Checksum(now) != receiver.Checksum(now) || sender.Checksum(now) == 0 {
		t.Error("the checksums of equal tables differ")
	}
	for i := range count {
		if receiver.Decision(digest(i), now).Status != Suspect {
			t.Fatalf("digest %d is no suspect at the receiver", i)
		}
	}
	sender.Complete(sender.Begin(digest(7), "engine-2", "first"))
	if sender.Checksum(now) == receiver.Checksum(now) {
		t.Error("the checksum does not show that a digest is cleared")
	}
	report()
	if receiver.Decision(digest(7), now).Status != Clear || receiver.Decision(digest(8), now).Status != Suspect {
		t.Error("the clearing of one digest is lost, or clears another one")
	}
}
