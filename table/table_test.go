package table

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestDataDriven runs the files in testdata: parse, diff and merge of tables, whose
// rows the expected results write as "name: column=value ...".
func TestDataDriven(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "parse":
				return runParse(t, d)
			case "diff":
				sides := splitRows(t, d.Input)
				return lines(Diff(sides[0], sides[1]))
			case "merge":
				return runMerge(t, d)
			}
			d.Fatalf(t, "no command %q", d.Cmd)
			return ""
		})
	})
}

func runParse(t *testing.T, d *datadriven.TestData) string {
	var format string
	d.ScanArgs(t, "format", &format)
	rows, err := Parse(format, []byte(d.Input))
	if errs, ok := err.(Errors); ok {
		return lines(errs)
	}
	if err != nil {
		d.Fatalf(t, "error of type %T", err)
	}
	return lines(Diff(nil, rows))
}

func runMerge(t *testing.T, d *datadriven.TestData) string {
	sides := splitRows(t, d.Input)
	m, err := Merge3(sides[0], sides[1], sides[2])
	if err != nil {
		return err.Error()
	}
	return lines(Diff(nil, m.Rows)) + lines(m.Conflicts)
}

// lines formats each item on its own line.
func lines[T any](items []T) string {
	var b strings.Builder
	for _, item := range items {
		fmt.Fprintln(&b, item)
	}
	return b.String()
}

// splitRows reads YAML flow rows; a line of "--" separates the tables.
func splitRows(t *testing.T, input string) [][]Row {
	var tables [][]Row
	for _, part := range strings.Split(input+"\n", "--\n") {
		rows, err := Parse(FormatYAML, []byte("rows:\n"+part))
		if err != nil {
			t.Fatalf("%s\n%s", err, part)
		}
		tables = append(tables, rows)
	}
	return tables
}

func drawRow(t *rapid.T, name string, scorers []string) Row {
	r := Row{
		Name:           name,
		Kind:           rapid.SampledFrom([]Kind{KindService, KindTrainer, KindPlain}).Draw(t, "kind"),
		Share:          rapid.Float64Range(minShare, maxShare).Draw(t, "share"),
		MaxRPS:         rapid.Float64Range(0, 1e6).Draw(t, "rps"),
		MaxConcurrency: rapid.IntRange(0, 100).Draw(t, "concurrency"),
		MaxQueue:       rapid.IntRange(1, 100).Draw(t, "queue"),
		Deadline:       time.Duration(rapid.Int64Range(1, int64(maxDeadline)).Draw(t, "deadline")),
	}
	if r.Kind == KindPlain {
		r.Repeatable = rapid.Bool().Draw(t, "repeatable")
		return r
	}
	r.Repeatable = true
	r.Model = rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._/:-]{0,20}`).Draw(t, "model")
	r.Swap = SwapDrain
	r.MaxTPS = rapid.Float64Range(0, 1e6).Draw(t, "tps")
	if r.Kind == KindTrainer {
		r.StalenessBound = rapid.Uint64Range(0, maxStaleness).Draw(t, "staleness")
		r.WaitShare = rapid.Float64Range(0.001, 1).Draw(t, "wait")
		r.Leftover = rapid.SampledFrom([]Leftover{LeftoverCarry, LeftoverCancel}).Draw(t, "leftover")
		r.Scorer = rapid.SampledFrom(append(scorers, "")).Draw(t, "scorer")
	}
	return r
}

func drawRows(t *rapid.T) []Row {
	const scorer = "null" // must not be read back as YAML's null
	rows := []Row{drawRow(t, scorer, nil)}
	rows[0] = Row{Name: scorer, Kind: KindPlain, Share: 1, MaxQueue: 1, Deadline: time.Second}
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-m0-9-]{1,6}`), 0, 6, rapid.ID).Draw(t, "names")
	for _, name := range names {
		rows = append(rows, drawRow(t, name, []string{scorer}))
	}
	return rows
}

func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := drawRows(t)
		for _, format := range []string{FormatCSV, FormatYAML} {
			body, err := Format(format, rows)
			if err != nil {
				t.Fatal(err)
			}
			again, err := Parse(format, body)
			if err != nil {
				t.Fatalf("%s\n%s", err, body)
			}
			if !reflect.DeepEqual(rows, again) {
				t.Fatalf("%s: %+v became %+v\n%s", format, rows, again, body)
			}
		}
	})
}

// TestMergeWithUnchangedBase checks that merging an edit with the unchanged base
// returns the edit, on either side and without conflicts.
func TestMergeWithUnchangedBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, edit := drawRows(t), drawRows(t)
		for _, sides := range [][2][]Row{{edit, base}, {base, edit}} {
			m, err := Merge3(base, sides[0], sides[1])
			if err != nil {
				t.Fatal(err)
			}
			if diff := Diff(edit, m.Rows); len(diff) > 0 || len(m.Conflicts) > 0 {
				t.Fatalf("diff %v, conflicts %v", diff, m.Conflicts)
			}
		}
	})
}

// TestMergeKeepsEveryEdit checks that each cell that an edit changed is in the merge
// or in a conflict.
func TestMergeKeepsEveryEdit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawRows(t), drawRows(t), drawRows(t)
		m, err := Merge3(base, mine, theirs)
		if err != nil {
			t.Fatal(err)
		}
		conflicted := make(map[string]bool)
		for _, c := range m.Conflicts {
			conflicted[c.Row+"/"+c.Column] = true
		}
		for _, edit := range [][]Row{mine, theirs} {
			lost := make(map[string]bool)
			for _, c := range Diff(edit, m.Rows) {
				lost[c.Row+"/"+c.Column] = true
			}
			for _, c := range Diff(base, edit) {
				key := c.Row + "/" + c.Column
				if lost[key] && !conflicted[key] && !conflicted[c.Row+"/"] {
					t.Fatalf("edit %s is lost; conflicts %v", c, m.Conflicts)
				}
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	header := strings.Join(ColumnNames(), ",")
	f.Add(FormatCSV, []byte(header+"\nweb,service,m,1,,,,,,2s,,,,,\n"))
	f.Add(FormatYAML, []byte("rows: [{name: web, kind: service, model: m, share: 1}]"))
	f.Add(FormatYAML, []byte("rows: &a [{name: *a, share: ~}]"))
	f.Fuzz(func(t *testing.T, format string, body []byte) {
		rows, err := Parse(format, body)
		if err != nil {
			return
		}
		again, err := Format(format, rows)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Parse(format, again); err != nil || !reflect.DeepEqual(rows, got) {
			t.Fatalf("%v: %q became %q", err, body, again)
		}
	})
}
