package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Units of sizes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
	GiB int64 = 1 << 30
)

// unit is a unit suffix of a size and its factor.
type unit struct {
	suffix string
	bytes  int64
}

// units lists the suffixes; a suffix comes before any shorter one that it ends with.
var units = []unit{
	{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB},
	{"kB", 1000}, {"MB", 1000 * 1000}, {"GB", 1000 * 1000 * 1000},
	{"B", 1},
}

// Bytes declares a size in bytes from least to most, written with its unit,
// such as "64MiB", or as a plain number of bytes.
func (s *Set) Bytes(name string, fallback, least, most int64, usage string) *int64 {
	v := new(int64)
	usage = fmt.Sprintf("%s (size, %s to %s)", usage, formatBytes(least), formatBytes(most))
	s.add(&setting{name: name, usage: usage, fallback: formatBytes(fallback), parse: func(text string) error {
		n, err := parseBytes(text)
		if err != nil || n < least || n > most {
			return fmt.Errorf("want a size such as 64MiB from %s to %s", formatBytes(least), formatBytes(most))
		}
		*v = n
		return nil
	}})
	return v
}

func parseBytes(text string) (int64, error) {
	number, scale := text, int64(1)
	for _, u := range units {
		if rest, ok := strings.CutSuffix(text, u.suffix); ok {
			number, scale = strings.TrimSpace(rest), u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0, err
	}
	if n < 0 || n > math.MaxInt64/scale {
		return 0, strconv.ErrRange
	}
	return n * scale, nil
}

func formatBytes(n int64) string {
	for _, u := range []unit{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}} {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}
