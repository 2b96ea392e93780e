package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// listSeparator separates the elements of a list.
const listSeparator = ","

var zonePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// String declares a string.
func (s *Set) String(name, fallback, usage string) *string {
	v := new(string)
	s.add(&setting{name: name, usage: usage, fallback: fallback, parse: func(text string) error {
		*v = text
		return nil
	}})
	return v
}

// RequiredString declares a string that has no default and must not be empty.
func (s *Set) RequiredString(name, usage string) *string {
	v := s.String(name, "", usage)
	s.last().required = true
	return v
}

// Secret declares a string that is never printed. It has no default.
func (s *Set) Secret(name, usage string) *string {
	v := s.String(name, "", usage)
	s.last().secret = true
	return v
}

// Choice declares a string that must be one of choices.
func (s *Set) Choice(name, fallback, usage string, choices ...string) *string {
	v := new(string)
	usage = fmt.Sprintf("%s: %s", usage, strings.Join(choices, ", "))
	s.add(&setting{name: name, usage: usage, fallback: fallback, parse: func(text string) error {
		for _, c := range choices {
			if text == c {
				*v = text
				return nil
			}
		}
		return fmt.Errorf("want one of %s", strings.Join(choices, ", "))
	}})
	return v
}

// Zone declares the availability zone, which is required: lower-case letters,
// digits and "-".
func (s *Set) Zone(name, usage string) *string {
	v := new(string)
	s.add(&setting{name: name, usage: usage, required: true, parse: func(text string) error {
		if !zonePattern.MatchString(text) {
			return errors.New(`want 1 to 63 lower-case letters, digits or "-"`)
		}
		*v = text
		return nil
	}})
	return v
}

// IPPort declares an address "ip:port" with an IP number, not a host name. With an
// empty default the value is empty if the setting is not given.
func (s *Set) IPPort(name, fallback, usage string) *string {
	v := new(string)
	s.add(&setting{name: name, usage: usage, fallback: fallback, parse: func(text string) (err error) {
		*v, err = parseIPPort(text)
		return err
	}})
	return v
}

// IPPorts declares a comma-separated list of addresses "ip:port".
func (s *Set) IPPorts(name, fallback, usage string) *[]string {
	v := new([]string)
	s.add(&setting{name: name, usage: usage, fallback: fallback, parse: func(text string) error {
		*v = nil
		for _, element := range split(text) {
			addr, err := parseIPPort(element)
			if err != nil {
				return fmt.Errorf("%q: %w", element, err)
			}
			*v = append(*v, addr)
		}
		return nil
	}})
	return v
}

func parseIPPort(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", errors.New("want ip:port, with an IP number and no host name")
	}
	return ap.String(), nil
}

// URL declares the base URL of a service, "http://ip:port" or https, with an IP
// number, not a host name, and optionally a path. Trailing slashes are removed.
func (s *Set) URL(name, fallback, usage string) *string {
	v := new(string)
	s.add(&setting{name: name, usage: usage, fallback: fallback, parse: func(text string) error {
		if err := checkURL(text); err != nil {
			return err
		}
		*v = strings.TrimRight(text, "/")
		return nil
	}})
	return v
}

// RequiredURL is URL without a default.
func (s *Set) RequiredURL(name, usage string) *string {
	v := s.URL(name, "", usage)
	s.last().required = true
	return v
}

func checkURL(text string) error {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("want http://ip:port or https://ip:port")
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return errors.New("want no user, query or fragment")
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return errors.New("want http://ip:port, with an IP number and no host name")
	}
	return nil
}

// Duration declares a duration from shortest to longest, such as "1.5s".
func (s *Set) Duration(name string, fallback, shortest, longest time.Duration, usage string) *time.Duration {
	v := new(time.Duration)
	usage = fmt.Sprintf("%s (duration, %v to %v)", usage, shortest, longest)
	s.add(&setting{name: name, usage: usage, fallback: fallback.String(), parse: func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < shortest || d > longest {
			return fmt.Errorf("want a duration with its unit from %v to %v", shortest, longest)
		}
		*v = d
		return nil
	}})
	return v
}

// Int declares an integer from least to most.
func (s *Set) Int(name string, fallback, least, most int, usage string) *int {
	v := new(int)
	usage = fmt.Sprintf("%s (%d to %d)", usage, least, most)
	s.add(&setting{name: name, usage: usage, fallback: strconv.Itoa(fallback), parse: func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < least || n > most {
			return fmt.Errorf("want a whole number from %d to %d", least, most)
		}
		*v = n
		return nil
	}})
	return v
}

// Float declares a number from least to most.
func (s *Set) Float(name string, fallback, least, most float64, usage string) *float64 {
	v := new(float64)
	usage = fmt.Sprintf("%s (%g to %g)", usage, least, most)
	s.add(&setting{name: name, usage: usage, fallback: strconv.FormatFloat(fallback, 'g', -1, 64), parse: func(text string) error {
		f, err := strconv.ParseFloat(text, 64)
		inRange := f >= least && f <= most // false for NaN
		if err != nil || !inRange {
			return fmt.Errorf("want a number from %g to %g", least, most)
		}
		*v = f
		return nil
	}})
	return v
}

// Bool declares a boolean.
func (s *Set) Bool(name string, fallback bool, usage string) *bool {
	v := new(bool)
	s.add(&setting{name: name, usage: usage, fallback: strconv.FormatBool(fallback), isBool: true, parse: func(text string) error {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return errors.New("want true or false")
		}
		*v = b
		return nil
	}})
	return v
}

// File declares the path of a file, which must be readable unless the path is empty.
func (s *Set) File(name, fallback, usage string) *string {
	v := new(string)
	s.add(&setting{name: name, usage: usage, fallback: fallback, parse: func(text string) error {
		*v = text
		if text == "" {
			return nil
		}
		return checkReadable(text)
	}})
	return v
}

// RequiredFile is File without a default.
func (s *Set) RequiredFile(name, usage string) *string {
	v := s.File(name, "", usage)
	s.last().required = true
	return v
}

func checkReadable(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("cannot be read: %w", errors.Unwrap(err))
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.IsDir() {
		return errors.New("is not a file")
	}
	return nil
}

// List declares a comma-separated list of strings.
func (s *Set) List(name, fallback, usage string) *[]string {
	v := new([]string)
	usage += " (separated by commas)"
	s.add(&setting{name: name, usage: usage, fallback: fallback, parse: func(text string) error {
		*v = split(text)
		return nil
	}})
	return v
}

// split returns the non-empty elements of a list, with surrounding spaces trimmed.
func split(text string) []string {
	var elements []string
	for element := range strings.SplitSeq(text, listSeparator) {
		if element = strings.TrimSpace(element); element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

func (s *Set) last() *setting { return s.settings[len(s.settings)-1] }
