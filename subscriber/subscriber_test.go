package subscriber

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcuphook/kingcuphook"
)

// codec reads declarations that are a version, and registrations that are an
// address and a start.
type codec struct{}

func (codec) Declaration(value []byte) (*kingcuphook.Declaration, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", kingcuphook.ErrInvalid, err)
	}
	return kingcuphook.NewDeclaration(kingcuphook.DeclarationFields{
		Version: n,
		Pools:   map[string]kingcuphook.DeclaredPool{"models": {Kind: kingcuphook.UpstreamKindEngine}},
	}), nil
}

func (codec) Registration(key string, value []byte) (kingcuphook.Registration, error) {
	address, born, ok := strings.Cut(string(value), "@")
	n, err := strconv.ParseInt(born, 10, 64)
	if !ok || err != nil {
		return kingcuphook.Registration{}, fmt.Errorf("%s: %w", key, kingcuphook.ErrInvalid)
	}
	f := kingcuphook.UpstreamFields{Address: address, Instance: key, StartTime: n}
	return kingcuphook.Registration{Pool: "models", Upstream: f}, nil
}

func newSubscriber() *Subscriber {
	return &Subscriber{Codec: codec{}, DeclarationKey: "op/config", RegistrationPrefix: "servers/"}
}

func put(key, value string, revision int64) kingcuphook.Entry {
	return kingcuphook.NewEntry(key, []byte(value), revision, false)
}

func gone(key string, revision int64) kingcuphook.Entry {
	return kingcuphook.NewEntry(key, nil, revision, true)
}

func addresses(s *Subscriber) string {
	var list []string
	for _, p := range s.Tables().Pools() {
		for _, u := range p.Upstreams() {
			list = append(list, u.Address())
		}
	}
	return strings.Join(list, " ")
}

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDeclarationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := newSubscriber()
	is.True(s.Tables() == nil)
	changed, err := s.Declare(put("op/config", "7", 1))
	is.True(changed && err == nil)
	changed, err = s.Declare(put("op/config", "5", 2)) // older, though written later
	is.True(!changed && err == nil)
	is.Equal(s.Version(), int64(7))
}

func TestBadDeclarationLeavesWhatIsInForce(t *testing.T) {
	is := is.New(t)
	s := newSubscriber()
	_, err := s.Declare(put("op/config", "7", 1))
	is.NoErr(err)
	changed, err := s.Declare(put("op/config", "{", 2))
	is.True(!changed)
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
	is.Equal(s.Tables().Revision(), int64(7))
}

func TestBadRegistrationNamesNoUpstream(t *testing.T) {
	is := is.New(t)
	s := newSubscriber()
	_, err := s.Declare(put("op/config", "1", 1))
	is.NoErr(err)
	err = s.Register(start, []kingcuphook.Entry{put("servers/a", "a@1", 2), put("servers/b", "nonsense", 3), put("servers/c", "c@1", 4)}, 4)
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
	is.Equal(addresses(s), "a c") // the others hold
	err = s.Register(start, []kingcuphook.Entry{put("servers/a", "nonsense", 5)}, 5)
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
	is.Equal(addresses(s), "c") // what it said before no longer holds
}

func TestRemovedRegistrationGoesAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSubscriber()
	_, err := s.Declare(put("op/config", "1", 1))
	is.NoErr(err)
	is.NoErr(s.Register(start, []kingcuphook.Entry{put("servers/a", "a@1", 2), put("servers/b", "b@1", 3)}, 3))
	is.NoErr(s.Register(start, []kingcuphook.Entry{gone("servers/a", 4)}, 4))
	is.Equal(addresses(s), "b")
	// A snapshot without trouble of the store before says the same.
	is.NoErr(s.Replace(start, nil, 5))
	is.Equal(addresses(s), "")
}

func TestLapsedRegistrationIsHeldUntilItIsBack(t *testing.T) {
	is := is.New(t)
	s := newSubscriber()
	_, err := s.Declare(put("op/config", "1", 1))
	is.NoErr(err)
	is.NoErr(s.Register(start, []kingcuphook.Entry{put("servers/a", "a@1", 2), put("servers/b", "b@1", 3)}, 3))
	is.True(s.Lost())
	is.True(!s.Lost())
	back := start.Add(10 * time.Second)
	is.True(s.Found(back))
	is.NoErr(s.Replace(back, nil, 9))
	is.Equal(addresses(s), "a b") // they may have lapsed while the store was away
	is.NoErr(s.Register(back.Add(time.Second), []kingcuphook.Entry{put("servers/b", "b@1", 10)}, 10))
	is.Equal(s.Expire(back.Add(2*time.Second)), 0)
	is.Equal(s.Expire(back.Add(lapseHold)), 1)
	is.Equal(addresses(s), "b") // what is still missing is gone
}

func TestEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newSubscriber()
	_, err := s.Declare(put("op/config", "1", 1))
	is.NoErr(err)
	is.NoErr(s.Register(start, []kingcuphook.Entry{put("servers/a", "new@20", 2)}, 2))
	is.NoErr(s.Register(start, []kingcuphook.Entry{put("servers/a", "old@10", 3)}, 3))
	is.Equal(addresses(s), "new")
}

func TestNewsOfAPeer(t *testing.T) {
	is := is.New(t)
	ahead, behind := newSubscriber(), newSubscriber()
	_, err := ahead.Declare(put("op/config", "3", 5))
	is.NoErr(err)
	is.NoErr(ahead.Register(start, []kingcuphook.Entry{put("servers/a", "a@1", 4)}, 6))
	payload, err := ahead.Export(start, behind.Revision())
	is.NoErr(err)
	changed, err := behind.Import(start, payload)
	is.NoErr(err)
	is.True(changed)
	is.Equal(behind.Version(), int64(3))
	is.Equal(addresses(behind), "a")
	_, err = ahead.Export(start, behind.Revision())
	is.True(errors.Is(err, kingcuphook.ErrNotFound))

	// A peer that is behind changes nothing.
	_, err = ahead.Declare(put("op/config", "4", 7))
	is.NoErr(err)
	payload, err = behind.Export(start, 0)
	is.NoErr(err)
	_, err = ahead.Import(start, payload)
	is.NoErr(err)
	is.Equal(ahead.Version(), int64(4))
	_, err = ahead.Import(start, []byte("nonsense"))
	is.True(errors.Is(err, kingcuphook.ErrInvalid))
}

func TestHeldRegistrationsAreNotToldToPeers(t *testing.T) {
	is := is.New(t)
	holder, peer := newSubscriber(), newSubscriber()
	for _, s := range []*Subscriber{holder, peer} {
		_, err := s.Declare(put("op/config", "1", 1))
		is.NoErr(err)
		is.NoErr(s.Register(start, []kingcuphook.Entry{put("servers/a", "a@1", 2), put("servers/b", "b@1", 3)}, 3))
	}
	holder.Lost()
	holder.Found(start)
	is.NoErr(holder.Register(start, []kingcuphook.Entry{gone("servers/a", 4)}, 6))
	is.Equal(addresses(holder), "a b") // it may have lapsed
	is.NoErr(peer.Register(start, []kingcuphook.Entry{gone("servers/a", 4)}, 5))
	is.Equal(addresses(peer), "b")
	payload, err := holder.Export(start.Add(time.Hour), peer.Revision())
	is.NoErr(err)
	_, err = peer.Import(start, payload)
	is.NoErr(err)
	is.Equal(addresses(peer), "b") // the peer has seen it go
}

func TestOldSnapshotTakesNothingOut(t *testing.T) {
	is := is.New(t)
	s := newSubscriber()
	_, err := s.Declare(put("op/config", "1", 1))
	is.NoErr(err)
	is.NoErr(s.Register(start, []kingcuphook.Entry{put("servers/a", "a@1", 9)}, 9))
	is.NoErr(s.Replace(start, []kingcuphook.Entry{put("servers/b", "b@1", 3)}, 5))
	is.Equal(addresses(s), "a b")
}
