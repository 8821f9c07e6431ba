package coldlimit

import "time"

// Token is the permission of one assigned request to be sent to an upstream. The zero value
// is that of a request to a warm one.
type Token struct {
	upstream string
	spell    *spell
	sent     time.Time // when it was last recorded as sent; zero before
}

// Allows reports whether one more request may be assigned to an upstream.
func (t *Table) Allows(now time.Time, id string) bool {
	s := t.cold(now, id)
	if s == nil {
		return true
	}
	s.wantedAt = now
	return s.permit.state == Held && s.pace.hasToken(now)
}

// Permits reports whether this router may send at all to an upstream, be it cold or warm.
func (t *Table) Permits(now time.Time, id string) bool {
	s := t.cold(now, id)
	return s == nil || s.permit.state == Held
}

// Take takes a token for a request that is assigned to an upstream. Allows must have
// returned true at the same time.
func (t *Table) Take(now time.Time, id string) *Token {
	s := t.cold(now, id)
	if s == nil || !s.pace.take(now) {
		return nil
	}
	return &Token{upstream: id, spell: s}
}

// GiveBack returns the token of a request that was not sent.
func (t *Table) GiveBack(now time.Time, token *Token) {
	if token != nil && t.spells[token.upstream] == token.spell {
		token.spell.pace.giveBack(now)
	}
}

// MaySend reports whether an assigned request may be sent now. It is called just before
// that, possibly more than once. token is nil if the upstream was warm when the request
// was assigned; one that has become cold since needs a token. It returns the token to
// use from then on.
func (t *Table) MaySend(now time.Time, id string, token *Token) (*Token, bool) {
	s := t.cold(now, id)
	if s == nil {
		return token, true
	}
	if s.permit.state != Held {
		return token, false
	}
	if token == nil || token.spell != s {
		if token = t.Take(now, id); token == nil {
			return nil, false
		}
	}
	if !s.pace.send(now, token.sent) {
		return token, false
	}
	token.sent = now
	return token, true
}

// FreeIn returns the time after which an upstream of a service that is cold now may get a
// request of this router: 0 if one may now, or if none is cold.
func (t *Table) FreeIn(now time.Time, service string) time.Duration {
	found, shortest := false, time.Duration(0)
	for _, s := range t.spells {
		if s.service != service || !now.Before(s.until) {
			continue
		}
		free := s.until.Sub(now)
		if s.permit.state == Held {
			free = min(free, s.pace.tokenIn(now))
		}
		if !found || free < shortest {
			found, shortest = true, free
		}
	}
	return shortest
}
