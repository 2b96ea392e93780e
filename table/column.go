package table

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"
)

// Names of the table's columns, in the canonical order.
const (
	ColumnName           = "name"
	ColumnKind           = "kind"
	ColumnModel          = "model"
	ColumnShare          = "share"
	ColumnStalenessBound = "staleness_bound"
	ColumnMaxRPS         = "max_rps"
	ColumnMaxTPS         = "max_tps"
	ColumnMaxConcurrency = "max_concurrency"
	ColumnMaxQueue       = "max_queue"
	ColumnDeadline       = "deadline"
	ColumnWaitShare      = "wait_share"
	ColumnLeftover       = "leftover"
	ColumnScorer         = "scorer"
	ColumnSwap           = "swap"
	ColumnRepeatable     = "repeatable"
)

// Defaults of empty cells.
const (
	DefaultMaxQueue        = 1000
	DefaultDeadline        = 30 * time.Second
	DefaultTrainerDeadline = 6 * time.Minute
	DefaultSwap            = SwapAtOnce
)

// Limits of values.
const (
	minShare      = 1e-6
	maxShare      = 1e6
	maxRate       = 1e12
	maxCount      = 1_000_000_000
	maxStaleness  = 1_000_000
	maxDeadline   = 24 * time.Hour
	maxModelBytes = 128
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]*$`)
)

// usage says whether rows of a kind may or must have a value in a column.
type usage uint8

const (
	unused usage = iota
	optional
	required
)

// column describes one column: which kinds use it, its defaults, and how its cells
// are parsed and formatted. An empty cell stands for the zero value.
type column struct {
	name     string
	use      map[Kind]usage
	defaults map[Kind]string
	get      func(r *Row) string
	set      func(r *Row, cell string) error
}

func everyKind(u usage) map[Kind]usage {
	return map[Kind]usage{KindService: u, KindTrainer: u, KindPlain: u}
}

func everyDefault(cell string) map[Kind]string {
	return map[Kind]string{KindService: cell, KindTrainer: cell, KindPlain: cell}
}

func onEngines(u usage) map[Kind]usage {
	return map[Kind]usage{KindService: u, KindTrainer: u}
}

func onlyTrainers(u usage) map[Kind]usage { return map[Kind]usage{KindTrainer: u} }

// columns lists all columns in canonical order.
var columns = []column{
	{
		name: ColumnName, use: everyKind(required),
		get: func(r *Row) string { return r.Name },
		set: func(r *Row, cell string) error {
			return setMatching(&r.Name, cell, namePattern, "want [a-z0-9-]{1,63}")
		},
	},
	{
		name: ColumnKind, use: everyKind(required),
		get: func(r *Row) string { return string(r.Kind) },
		set: func(r *Row, cell string) error { return setOneOf(&r.Kind, cell, KindService, KindTrainer, KindPlain) },
	},
	{
		name: ColumnModel, use: onEngines(required),
		get: func(r *Row) string { return r.Model },
		set: func(r *Row, cell string) error { return setModel(&r.Model, cell) },
	},
	{
		name:     ColumnShare,
		use:      map[Kind]usage{KindService: required, KindTrainer: required, KindPlain: optional},
		defaults: map[Kind]string{KindPlain: "1"},
		get:      func(r *Row) string { return formatFloat(r.Share) },
		set:      func(r *Row, cell string) error { return setFloat(&r.Share, cell, minShare, maxShare) },
	},
	{
		name: ColumnStalenessBound, use: onlyTrainers(required),
		get: getStaleness,
		set: setStaleness,
	},
	{
		name: ColumnMaxRPS, use: everyKind(optional),
		get: func(r *Row) string { return formatFloat(r.MaxRPS) },
		set: func(r *Row, cell string) error { return setFloat(&r.MaxRPS, cell, 0, maxRate) },
	},
	{
		name: ColumnMaxTPS, use: onEngines(optional),
		get: func(r *Row) string { return formatFloat(r.MaxTPS) },
		set: func(r *Row, cell string) error { return setFloat(&r.MaxTPS, cell, 0, maxRate) },
	},
	{
		name: ColumnMaxConcurrency, use: everyKind(optional),
		get: func(r *Row) string { return formatInt(r.MaxConcurrency) },
		set: func(r *Row, cell string) error { return setInt(&r.MaxConcurrency, cell, 0, maxCount) },
	},
	{
		name: ColumnMaxQueue, use: everyKind(optional),
		defaults: everyDefault(strconv.Itoa(DefaultMaxQueue)),
		get:      func(r *Row) string { return formatInt(r.MaxQueue) },
		set:      func(r *Row, cell string) error { return setInt(&r.MaxQueue, cell, 1, maxCount) },
	},
	{
		name: ColumnDeadline, use: everyKind(optional),
		defaults: map[Kind]string{
			KindService: DefaultDeadline.String(),
			KindTrainer: DefaultTrainerDeadline.String(),
			KindPlain:   DefaultDeadline.String(),
		},
		get: getDeadline,
		set: setDeadline,
	},
	{
		name: ColumnWaitShare, use: onlyTrainers(optional),
		defaults: map[Kind]string{KindTrainer: "1"},
		get:      func(r *Row) string { return formatFloat(r.WaitShare) },
		set:      setWaitShare,
	},
	{
		name: ColumnLeftover, use: onlyTrainers(required),
		get: func(r *Row) string { return string(r.Leftover) },
		set: func(r *Row, cell string) error { return setOneOf(&r.Leftover, cell, LeftoverCarry, LeftoverCancel) },
	},
	{
		name: ColumnScorer, use: onlyTrainers(optional),
		get: func(r *Row) string { return r.Scorer },
		set: func(r *Row, cell string) error {
			return setMatching(&r.Scorer, cell, namePattern, "want the name of a plain row")
		},
	},
	{
		// The default of swap depends on the model's other rows; see inheritSwap.
		name: ColumnSwap, use: onEngines(optional),
		get: func(r *Row) string { return string(r.Swap) },
		set: func(r *Row, cell string) error { return setOneOf(&r.Swap, cell, SwapAtOnce, SwapDrain, SwapRolling) },
	},
	{
		name: ColumnRepeatable, use: map[Kind]usage{KindPlain: optional},
		defaults: map[Kind]string{KindService: "true", KindTrainer: "true", KindPlain: "false"},
		get:      getRepeatable,
		set:      setRepeatable,
	},
}

// ColumnNames returns the names of all columns in canonical order.
func ColumnNames() []string {
	names := make([]string, len(columns))
	for i := range columns {
		names[i] = columns[i].name
	}
	return names
}

func columnIndex(name string) (int, bool) {
	for i := range columns {
		if columns[i].name == name {
			return i, true
		}
	}
	return 0, false
}

func setMatching(to *string, cell string, pattern *regexp.Regexp, want string) error {
	if !pattern.MatchString(cell) {
		return fmt.Errorf("%s, got %q", want, cell)
	}
	*to = cell
	return nil
}

func setModel(to *string, cell string) error {
	if len(cell) > maxModelBytes {
		return fmt.Errorf("longer than %d bytes", maxModelBytes)
	}
	return setMatching(to, cell, modelPattern, "want a model's name of letters, digits and . _ / : -")
}

func setOneOf[T ~string](to *T, cell string, values ...T) error {
	for _, v := range values {
		if string(v) == cell {
			*to = v
			return nil
		}
	}
	return fmt.Errorf("want one of %q, got %q", values, cell)
}

func setFloat(to *float64, cell string, low, high float64) error {
	f, err := strconv.ParseFloat(cell, 64)
	if err != nil || math.IsNaN(f) {
		return fmt.Errorf("want a number, got %q", cell)
	}
	if f < low || f > high {
		return fmt.Errorf("want %v to %v, got %s", low, high, cell)
	}
	*to = f
	return nil
}

func setInt(to *int, cell string, low, high int) error {
	n, err := strconv.Atoi(cell)
	if err != nil {
		return fmt.Errorf("want a whole number, got %q", cell)
	}
	if n < low || n > high {
		return fmt.Errorf("want %d to %d, got %s", low, high, cell)
	}
	*to = n
	return nil
}

func setStaleness(r *Row, cell string) error {
	var n int
	if err := setInt(&n, cell, 0, maxStaleness); err != nil {
		return err
	}
	r.StalenessBound = uint64(n)
	return nil
}

func getStaleness(r *Row) string {
	if r.Kind != KindTrainer && r.StalenessBound == 0 {
		return ""
	}
	return strconv.FormatUint(r.StalenessBound, 10)
}

func setDeadline(r *Row, cell string) error {
	d, err := time.ParseDuration(cell)
	if err != nil {
		return fmt.Errorf("want a duration such as 30s, got %q", cell)
	}
	if d <= 0 || d > maxDeadline {
		return fmt.Errorf("want more than 0s and at most %s, got %s", maxDeadline, cell)
	}
	r.Deadline = d
	return nil
}

func getDeadline(r *Row) string {
	if r.Deadline == 0 {
		return ""
	}
	return r.Deadline.String()
}

func setWaitShare(r *Row, cell string) error {
	if err := setFloat(&r.WaitShare, cell, 0, 1); err != nil {
		return err
	}
	if r.WaitShare == 0 {
		return fmt.Errorf("want more than 0 and at most 1, got %s", cell)
	}
	return nil
}

func setRepeatable(r *Row, cell string) error {
	switch cell {
	case "true":
		r.Repeatable = true
	case "false":
		r.Repeatable = false
	default:
		return fmt.Errorf("want true or false, got %q", cell)
	}
	return nil
}

// getRepeatable returns an empty cell where the kind does not use the column.
func getRepeatable(r *Row) string {
	if r.Kind != KindPlain {
		return ""
	}
	return strconv.FormatBool(r.Repeatable)
}

func formatFloat(f float64) string {
	if f == 0 {
		return ""
	}
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func formatInt(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}
