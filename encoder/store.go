package encoder

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/kingcuphook/kingcuphook"
	"github.com/kingcuphook/kingcuphook/differ"
	"github.com/kingcuphook/kingcuphook/gen/tablespb"
)

// Keys of the tables in the store. Only the value of the head changes. The keys of
// the other values contain the revision that they were written for and are not
// reused.
const (
	// HeadKey is the key of the head, which every edit replaces by compare-and-swap.
	HeadKey = "tables/head"
	// ManifestPrefix is the prefix of the keys of manifests.
	ManifestPrefix = "tables/manifest/"
	// SegmentPrefix is the prefix of the keys of segments.
	SegmentPrefix = "tables/segment/"
	// PagePrefix is the prefix of the keys of pages, which hold older changes.
	PagePrefix = "tables/page/"
)

// Head is the value of HeadKey: the current revision of the tables, as a manifest
// and the changes since.
type Head struct {
	// Revision is the revision of the tables.
	Revision int64
	// Lineage identifies the sequence of edits that resulted in the tables.
	Lineage uint64
	// Manifest is the key of the manifest in the store.
	Manifest string
	// Base is the revision of the manifest; at most Revision.
	Base int64
	// Changes are contiguous, end at Revision and start at the revision after Base
	// or earlier. Their rows are compact.
	Changes []differ.Change
}

// SegmentName refers to a segment.
type SegmentName struct {
	// Hash is the hash of the encoded segment.
	Hash uint64
	// Key is the key of the segment in the store.
	Key string
}

// PageName refers to a page of older changes.
type PageName struct {
	// Key is the key of the page in the store.
	Key string
	// First and Last are the revisions of the first and last change in the page.
	First, Last int64
	// Bytes is the size of the encoded page.
	Bytes int
}

// Retired refers to a value that newer manifests no longer refer to.
type Retired struct {
	// Key is the key of the value in the store.
	Key string
	// Revision is the revision as of which the value is no longer used.
	Revision int64
}

// Manifest refers to the segments and pages of the tables at one revision.
type Manifest struct {
	// Revision and Lineage identify the state of the tables in the segments.
	Revision int64
	Lineage  uint64
	// Routes and Pools are the segments of the two tables in order.
	Routes, Pools []SegmentName
	// Pages hold the changes up to Revision, oldest first.
	Pages []PageName
	// Retired are the values to delete once the tables are a number of revisions
	// newer, oldest first.
	Retired []Retired
}

// EncodeHead encodes a head.
func EncodeHead(h *Head) ([]byte, error) {
	return proto.Marshal(&tablespb.Head{
		Revision: h.Revision, Lineage: h.Lineage, Manifest: h.Manifest, Base: h.Base,
		Changes: changesToProto(h.Changes),
	})
}

// DecodeHead decodes a head and checks that its changes are contiguous and end at
// its revision and lineage. Errors are of type *kingcuphook.InputError.
func DecodeHead(data []byte) (*Head, error) {
	var m tablespb.Head
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, inputError(HeadKey, err)
	}
	cs, err := changesFromProto(m.GetChanges())
	if err != nil {
		return nil, inputError(HeadKey, err)
	}
	h := &Head{Revision: m.GetRevision(), Lineage: m.GetLineage(), Manifest: m.GetManifest(), Base: m.GetBase(), Changes: cs}
	if h.Revision < 1 || len(cs) == 0 || cs[len(cs)-1].Revision() != h.Revision || cs[len(cs)-1].Lineage() != h.Lineage {
		return nil, inputError(HeadKey, errHeadMismatch)
	}
	return h, nil
}

var errHeadMismatch = errors.New("the changes do not end at the revision of the head")

// EncodeManifest encodes a manifest.
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

// DecodeManifest decodes the manifest of the given key. Errors are of type
// *kingcuphook.InputError.
func DecodeManifest(key string, data []byte) (*Manifest, error) {
	var m tablespb.Manifest
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, inputError(key, err)
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

// EncodePage encodes a page of changes.
func EncodePage(cs []differ.Change) ([]byte, error) {
	return proto.Marshal(&tablespb.Page{Changes: changesToProto(cs)})
}

// DecodePage decodes the page of the given key. Errors are of type
// *kingcuphook.InputError.
func DecodePage(key string, data []byte) ([]differ.Change, error) {
	var m tablespb.Page
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, inputError(key, err)
	}
	cs, err := changesFromProto(m.GetChanges())
	if err != nil {
		return nil, inputError(key, err)
	}
	return cs, nil
}

// ChangeBytes returns the encoded size of a change in a head or page.
func ChangeBytes(c differ.Change) int { return proto.Size(changeToProto(c)) }

// inputError returns a *kingcuphook.InputError that wraps ErrInvalid; file is the
// store key or other source of the value.
func inputError(file string, err error) error {
	return &kingcuphook.InputError{File: file, Reason: err.Error(), Err: kingcuphook.ErrInvalid}
}
