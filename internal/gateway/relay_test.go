package gateway

import "testing"

// Guards against events of a stream that are forwarded in part, duplicated after a resume at
// another runner, or lost.
func TestEvents(t *testing.T) {
	const one, two = "id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n"
	if n := completeEventsLen([]byte(one + two + "id: 3\nda")); n != len(one+two) {
		t.Errorf("%d bytes are complete events, want %d", n, len(one+two))
	}
	if n := completeEventsLen([]byte("id: 3\nda")); n != 0 {
		t.Errorf("%d bytes of an incomplete event count as complete", n)
	}
	cases := []struct {
		name, after, want, last string
		count                   int
	}{
		{"from the start", "", one + two, "2", 2},
		{"one repeated after a resume", "1", two, "2", 1},
		{"all repeated", "2", "", "2", 0},
		{"ids without order", "x", one + two, "2", 2},
	}
	for _, c := range cases {
		fresh, last, count := eventsAfter([]byte(one+two), c.after)
		if string(fresh) != c.want || last != c.last || count != c.count {
			t.Errorf("%s: %q, last %q, %d events, want %q, %q, %d", c.name, fresh, last, count, c.want, c.last, c.count)
		}
	}
	if fresh, _, count := eventsAfter([]byte(": comment\n\n"), "4"); count != 1 || len(fresh) == 0 {
		t.Error("an event without an id was dropped")
	}
}
