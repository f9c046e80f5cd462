package soaker

import (
	"testing"

	"github.com/kingcuphook/kingcuphook/platform/standin"
)

// TestStreamJoinedFromTwoVersionsIsNoticed guards against a check that passes a stream whose
// events come from two software versions, come twice or are missing.
func TestStreamJoinedFromTwoVersionsIsNoticed(t *testing.T) {
	events := func(first, last int, version string) string {
		text := ""
		for n := first; n < last; n++ {
			text += standin.Event(n, version)
		}
		return text
	}
	for name, test := range map[string]struct {
		answers []string
		want    bool
	}{
		"in one answer":           {[]string{events(0, 12, "1.0")}, false},
		"without a version":       {[]string{events(0, 12, "")}, false},
		"resumed":                 {[]string{events(0, 4, "1.0") + "id: 4", events(4, 12, "1.0")}, false},
		"other after no event":    {[]string{"id: 0\nda", events(0, 12, "1.1")}, false},
		"two versions":            {[]string{events(0, 4, "1.0"), events(4, 12, "1.1")}, true},
		"two in one answer":       {[]string{events(0, 4, "1.0") + events(4, 12, "1.1")}, true},
		"version and none":        {[]string{events(0, 4, "1.0"), events(4, 12, "")}, true},
		"from the beginning":      {[]string{events(0, 4, "1.0"), events(0, 12, "1.0")}, true},
		"event missing":           {[]string{events(0, 4, "1.0"), events(5, 12, "1.0")}, true},
		"ends too early":          {[]string{events(0, 11, "1.0")}, true},
		"ends with half an event": {[]string{events(0, 12, "1.0") + "id: 12"}, true},
	} {
		if violation := violationOf(&stream{}, test.answers); (violation != "") != test.want {
			t.Errorf("%s: %q, reported is to be %v", name, violation, test.want)
		}
	}
	for name, test := range map[string]struct {
		answer string
		want   bool
	}{
		"any version":       {events(4, 12, "1.1"), false},
		"two in one answer": {events(4, 8, "1.0") + events(8, 12, "1.1"), true},
		"event missing":     {events(5, 12, "1.1"), true},
		"ends too early":    {events(4, 11, "1.1"), true},
	} {
		s := &stream{first: "made-up", next: 4, misnamed: true}
		if violation := violationOf(s, []string{test.answer}); (violation != "") != test.want {
			t.Errorf("made-up attempt, %s: %q, reported is to be %v", name, violation, test.want)
		}
	}
}

// violationOf returns the guarantee that answers to a stream violate, the last of which is complete.
func violationOf(s *stream, answers []string) (violation string) {
	for n, text := range answers {
		a := answer{outcome: OutcomeCut, body: text}
		if n == len(answers)-1 {
			a.outcome = OutcomeComplete
		}
		if violation == "" {
			violation = s.add(&call{router: &router{}}, a)
		}
	}
	return violation
}
