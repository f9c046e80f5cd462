package parser

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/kingcuphook/kingcuphook/encoder"
)

// Keys of the arrays of tables.
const (
	arrayRoute     = "route"
	arrayPool      = "pool"
	arrayUpstream  = "upstream"
	arrayPlacement = "placement"
	arrayRemove    = "remove"
)

// tableHeader is the header of an array of tables, such as [[pool.upstream]].
type tableHeader struct {
	// outer is the first part of the key and inner the second; inner is empty for
	// a key of one part.
	outer, inner string
	line         int
}

// tableHeaders returns the headers of all arrays of tables in order of line.
func tableHeaders(data []byte) []tableHeader {
	var p unstable.Parser
	p.Reset(data)
	var headers []tableHeader
	line, offset := 1, 0
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.ArrayTable {
			continue
		}
		var h tableHeader
		it := e.Key()
		for i := 0; it.Next(); i++ {
			n := it.Node()
			switch i {
			case 0:
				h.outer = string(n.Data)
				next := int(n.Raw.Offset)
				line += bytes.Count(data[offset:next], []byte{'\n'})
				offset = next
			case 1:
				h.inner = string(n.Data)
			}
		}
		h.line = line
		headers = append(headers, h)
	}
	return headers
}

// arrayLines returns the lines of the n rows under a key, or nil if they are not
// written as an array of tables.
func arrayLines(data []byte, key string, n int) []int {
	var lines []int
	for _, h := range tableHeaders(data) {
		if h.outer == key && h.inner == "" {
			lines = append(lines, h.line)
		}
	}
	if len(lines) != n {
		return nil
	}
	return lines
}

// linesOfPools returns the lines of the pools and of the rows in them. It leaves
// out the lines of rows that are not written as arrays of tables.
func linesOfPools(data []byte, pools []encoder.PoolRow) []poolLines {
	var lines []poolLines
	for _, h := range tableHeaders(data) {
		if h.outer != arrayPool {
			continue
		}
		if h.inner == "" {
			lines = append(lines, poolLines{line: h.line})
			continue
		}
		if len(lines) == 0 {
			return nil
		}
		l := &lines[len(lines)-1]
		switch h.inner {
		case arrayUpstream:
			l.upstreams = append(l.upstreams, h.line)
		case arrayPlacement:
			l.placements = append(l.placements, h.line)
		}
	}
	if len(lines) != len(pools) {
		return nil
	}
	for i, p := range pools {
		if len(lines[i].upstreams) != len(p.Upstreams) {
			lines[i].upstreams = nil
		}
		if len(lines[i].placements) != len(p.Placements) {
			lines[i].placements = nil
		}
	}
	return lines
}

// line returns the line of route i; 0 if unknown.
func (t *RouteTable) line(i int) int { return lineAt(t.lines, i, 0) }

// line returns the line of pool i; 0 if unknown.
func (t *PoolTable) line(i int) int {
	if i >= len(t.lines) {
		return 0
	}
	return t.lines[i].line
}

// upstreamLine returns the line of upstream j of pool i, or else that of the pool;
// 0 if neither is known.
func (t *PoolTable) upstreamLine(i, j int) int {
	if i >= len(t.lines) {
		return 0
	}
	return lineAt(t.lines[i].upstreams, j, t.lines[i].line)
}

// placementLine returns the line of placement j of pool i, or else that of the
// pool; 0 if neither is known.
func (t *PoolTable) placementLine(i, j int) int {
	if i >= len(t.lines) {
		return 0
	}
	return lineAt(t.lines[i].placements, j, t.lines[i].line)
}

// lineAt returns element i of lines, or fallback if there is none.
func lineAt(lines []int, i, fallback int) int {
	if i >= len(lines) {
		return fallback
	}
	return lines[i]
}
