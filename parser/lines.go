package parser

import (
	"bytes"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/kingcuphook/kingcuphook/encoder"
)

// Names of the arrays of tables.
const (
	arrayRoute     = "route"
	arrayPool      = "pool"
	arrayUpstream  = "upstream"
	arrayPlacement = "placement"
	arrayRemove    = "remove"
)

// header is one header of an array of tables, such as [[pool.upstream]].
type header struct {
	// outer is the first part of the name and inner the second, or empty.
	outer, inner string
	line         int
}

// headers returns the headers of arrays of tables in order of line.
func headers(data []byte) []header {
	var p unstable.Parser
	p.Reset(data)
	var hs []header
	line, offset := 1, 0
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.ArrayTable {
			continue
		}
		var h header
		it := e.Key()
		for i := 0; it.Next(); i++ {
			n := it.Node()
			switch i {
			case 0:
				h.outer = string(n.Data)
				at := int(n.Raw.Offset)
				line += bytes.Count(data[offset:at], []byte{'\n'})
				offset = at
			case 1:
				h.inner = string(n.Data)
			}
		}
		h.line = line
		hs = append(hs, h)
	}
	return hs
}

// arrayLines returns the lines of the n rows of a name, or nil if they are not
// written as an array of tables.
func arrayLines(data []byte, name string, n int) []int {
	var lines []int
	for _, h := range headers(data) {
		if h.outer == name && h.inner == "" {
			lines = append(lines, h.line)
		}
	}
	if len(lines) != n {
		return nil
	}
	return lines
}

// linesOfPools returns the lines of the pools and of the rows in them. Rows
// that are not written as arrays of tables have no lines.
func linesOfPools(data []byte, pools []encoder.PoolRow) []poolLines {
	var lines []poolLines
	for _, h := range headers(data) {
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

// line returns the line of route i; 0 if it is not known.
func (t *RouteTable) line(i int) int { return at(t.lines, i, 0) }

// line returns the line of pool i; 0 if it is not known.
func (t *PoolTable) line(i int) int {
	if i >= len(t.lines) {
		return 0
	}
	return t.lines[i].line
}

// upstreamLine returns the line of upstream j of pool i, or of the pool.
func (t *PoolTable) upstreamLine(i, j int) int {
	if i >= len(t.lines) {
		return 0
	}
	return at(t.lines[i].upstreams, j, t.lines[i].line)
}

// placementLine returns the line of placement j of pool i, or of the pool.
func (t *PoolTable) placementLine(i, j int) int {
	if i >= len(t.lines) {
		return 0
	}
	return at(t.lines[i].placements, j, t.lines[i].line)
}

func at(lines []int, i, otherwise int) int {
	if i >= len(lines) {
		return otherwise
	}
	return lines[i]
}
