package encoder

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

// Keys of the tables in the store. Values other than the head never change once
// written: their keys hold the revision they were written for and are not used
// again.
const (
	// HeadKey is the key that every edit swaps.
	HeadKey = "tables/head"
	// ManifestPrefix starts the keys of manifests.
	ManifestPrefix = "tables/manifest/"
	// SegmentPrefix starts the keys of segments.
	SegmentPrefix = "tables/segment/"
	// PagePrefix starts the keys of pages of older changes.
	PagePrefix = "tables/page/"
)

// Head is the value of HeadKey.
type Head struct {
	// Revision is the revision of the tables.
	Revision int64
	// Lineage identifies the chain of edits that made the tables.
	Lineage uint64
	// Manifest is the key of the manifest.
	Manifest string
	// Base is the revision of the manifest; at most Revision.
	Base int64
	// Changes are contiguous, end at Revision and reach back at least to the
	// revision after Base. Their rows are compact.
	Changes []differ.Change
}

// SegmentName names a segment.
type SegmentName struct {
	// Hash is the hash of the segment's bytes.
	Hash uint64
	// Key is the key of the segment in the store.
	Key string
}

// PageName names a page of older changes.
type PageName struct {
	// Key is the key of the page in the store.
	Key string
	// First and Last are the revisions of its first and last change.
	First, Last int64
	// Bytes is its size.
	Bytes int
}

// Retired names a value that no newer manifest names.
type Retired struct {
	// Key is the key of the value in the store.
	Key string
	// Revision is the revision that retired it.
	Revision int64
}

// Manifest names the segments and pages of the tables at one revision.
type Manifest struct {
	// Revision and Lineage are those of the tables in the segments.
	Revision int64
	Lineage  uint64
	// Routes and Pools are the segments in order.
	Routes, Pools []SegmentName
	// Pages hold the changes up to Revision, oldest first.
	Pages []PageName
	// Retired are the keys to be deleted after a while, oldest first.
	Retired []Retired
}

// EncodeHead returns the value of a head.
func EncodeHead(h *Head) ([]byte, error) {
	return proto.Marshal(&tablespb.Head{
		Revision: h.Revision, Lineage: h.Lineage, Manifest: h.Manifest, Base: h.Base,
		Changes: changesToProto(h.Changes),
	})
}

// DecodeHead reads a head. An error is a *kingcuphook.InputError.
func DecodeHead(data []byte) (*Head, error) {
	var m tablespb.Head
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, bad(HeadKey, err)
	}
	cs, err := changesFromProto(m.GetChanges())
	if err != nil {
		return nil, bad(HeadKey, err)
	}
	h := &Head{Revision: m.GetRevision(), Lineage: m.GetLineage(), Manifest: m.GetManifest(), Base: m.GetBase(), Changes: cs}
	if h.Revision < 1 || len(cs) == 0 || cs[len(cs)-1].Revision() != h.Revision || cs[len(cs)-1].Lineage() != h.Lineage {
		return nil, bad(HeadKey, errHead)
	}
	return h, nil
}

var errHead = errors.New("the changes do not end at the revision of the head")

// EncodeManifest returns the value of a manifest.
func EncodeManifest(f *Manifest) ([]byte, error) {
	m := &tablespb.Manifest{
		Revision: f.Revision, Lineage: f.Lineage,
		Routes: namesToProto(f.Routes), Pools: namesToProto(f.Pools),
	}
	for _, p := range f.Pages {
		m.Pages = append(m.Pages, &tablespb.PageName{Key: p.Key, First: p.First, Last: p.Last, Bytes: int32(p.Bytes)})
	}
	for _, r := range f.Retired {
		m.Retired = append(m.Retired, &tablespb.Retired{Key: r.Key, Revision: r.Revision})
	}
	return proto.Marshal(m)
}

// DecodeManifest reads the manifest of the given key. An error is a
// *kingcuphook.InputError.
func DecodeManifest(key string, data []byte) (*Manifest, error) {
	var m tablespb.Manifest
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, bad(key, err)
	}
	f := &Manifest{
		Revision: m.GetRevision(), Lineage: m.GetLineage(),
		Routes: namesFromProto(m.GetRoutes()), Pools: namesFromProto(m.GetPools()),
	}
	for _, p := range m.GetPages() {
		f.Pages = append(f.Pages, PageName{Key: p.GetKey(), First: p.GetFirst(), Last: p.GetLast(), Bytes: int(p.GetBytes())})
	}
	for _, r := range m.GetRetired() {
		f.Retired = append(f.Retired, Retired{Key: r.GetKey(), Revision: r.GetRevision()})
	}
	return f, nil
}

func namesToProto(names []SegmentName) []*tablespb.SegmentName {
	ms := make([]*tablespb.SegmentName, len(names))
	for i, n := range names {
		ms[i] = &tablespb.SegmentName{Hash: n.Hash, Key: n.Key}
	}
	return ms
}

func namesFromProto(ms []*tablespb.SegmentName) []SegmentName {
	names := make([]SegmentName, len(ms))
	for i, m := range ms {
		names[i] = SegmentName{Hash: m.GetHash(), Key: m.GetKey()}
	}
	return names
}

// EncodePage returns the value of a page of changes.
func EncodePage(cs []differ.Change) ([]byte, error) {
	return proto.Marshal(&tablespb.Page{Changes: changesToProto(cs)})
}

// DecodePage reads the page of the given key. An error is a
// *kingcuphook.InputError.
func DecodePage(key string, data []byte) ([]differ.Change, error) {
	var m tablespb.Page
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, bad(key, err)
	}
	cs, err := changesFromProto(m.GetChanges())
	if err != nil {
		return nil, bad(key, err)
	}
	return cs, nil
}

// ChangeBytes returns the size of a change in a head or page.
func ChangeBytes(c differ.Change) int { return proto.Size(changeToProto(c)) }

func bad(file string, err error) error {
	return &kingcuphook.InputError{File: file, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
}
