package main

import (
	"time"
)

// lineFeed: a client writes a text with a line feed in it. An instance must run what was
// sent, and nothing else.
func lineFeed(s *scene) error {
	if err := s.startPlatform([]string{"a", "b", "c"}, 0, 32, func(string) time.Duration { return 3 * time.Millisecond }); err != nil {
		return err
	}
	if err := s.startHosts("a", "b"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c, err := connect(s.record, "c1", s.hosts[0].listen, "confirm", "key-north")
	if err != nil {
		return err
	}
	defer c.close()
	if answer, err := c.query("WRITE pickup-1 seen at stop 4"); err != nil || !succeeded(answer) {
		return errNotReady
	}
	separator := " "
	if s.trouble {
		separator = "\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = c.query("WRITE pickup-2 note of the driver:" + separator + "QUERY 77 WRITE pickup-1 absent")
	// Whatever else comes, comes now.
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	c.pending = "-"
	_, _ = c.answer()
	for _, r := range s.record.all() {
		text, sent := s.record.sentText(r.id)
		switch {
		case !sent:
			s.violation("UNASKED: %s ran request %s, %q, which no client sent", r.instance, r.id, r.text)
		case text != r.text:
			s.violation("UNASKED: %s ran request %s as %q, sent was %q", r.instance, r.id, r.text, text)
		}
	}
	return nil
}
