package capacity

import (
	"bytes"
	_ "embed"
	"math"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
	"gonum.org/v1/gonum/stat"
)

//go:embed slopes.yaml
var slopesFile []byte

// leastPoints is how many sizes a slope must have been measured at.
const leastPoints = 4

// Point is a value measured at one size.
type Point struct {
	N     float64 `yaml:"n" json:"n"`
	Value float64 `yaml:"value" json:"value"`
}

// Slope is a quantity measured at several sizes, and the line fitted to it by
// least squares: Base + PerUnit*n, in the unit named.
type Slope struct {
	Name string `yaml:"name" json:"name"`
	Unit string `yaml:"unit" json:"unit"`
	// By says what the sizes count.
	By        string `yaml:"by" json:"by"`
	Benchmark string `yaml:"benchmark" json:"benchmark"`
	Command   string `yaml:"command" json:"command"`
	// Scale brings the values to Unit; 1 when not given.
	Scale   float64 `yaml:"scale" json:"scale"`
	Points  []Point `yaml:"points" json:"points"`
	Base    float64 `yaml:"-" json:"base"`
	PerUnit float64 `yaml:"-" json:"per_unit"`
	// Error is the root mean square of the residuals, as a share of the mean value.
	Error float64 `yaml:"-" json:"error"`
}

// At is the fitted value at a size; never below zero.
func (s *Slope) At(n float64) float64 { return max(0, s.Base+s.PerUnit*n) }

// Largest is the largest size measured.
func (s *Slope) Largest() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.N)
	}
	return largest
}

func (s *Slope) fit() error {
	if len(s.Points) < leastPoints {
		return trace.BadParameter("slope %q: %d sizes measured, at least %d are needed", s.Name, len(s.Points), leastPoints)
	}
	if s.Scale == 0 {
		s.Scale = 1
	}
	var sizes, values []float64
	for _, p := range s.Points {
		sizes = append(sizes, p.N)
		values = append(values, p.Value*s.Scale)
	}
	s.Base, s.PerUnit = stat.LinearRegression(sizes, values, nil, false)
	var squares float64
	for i, n := range sizes {
		residual := values[i] - s.Base - s.PerUnit*n
		squares += residual * residual
	}
	s.Error = math.Sqrt(squares/float64(len(values))) / stat.Mean(values, nil)
	return nil
}

// Slopes are all measured quantities.
type Slopes struct {
	all    []*Slope
	byName map[string]*Slope
}

// LoadSlopes reads the slopes that the program carries, and fits them.
func LoadSlopes() (*Slopes, error) { return parseSlopes(slopesFile) }

func parseSlopes(file []byte) (*Slopes, error) {
	s := &Slopes{byName: map[string]*Slope{}}
	decoder := yaml.NewDecoder(bytes.NewReader(file))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s.all); err != nil {
		return nil, trace.Wrap(err, "reading the slopes")
	}
	for _, slope := range s.all {
		if s.byName[slope.Name] != nil {
			return nil, trace.BadParameter("slope %q stands twice", slope.Name)
		}
		if err := slope.fit(); err != nil {
			return nil, err
		}
		s.byName[slope.Name] = slope
	}
	for _, name := range needed {
		if s.byName[name] == nil {
			return nil, trace.BadParameter("slope %q is missing", name)
		}
	}
	return s, nil
}

// All lists the slopes in the file's order. Callers must not change it.
func (s *Slopes) All() []*Slope { return s.all }

// at is the value of a needed slope at a size.
func (s *Slopes) at(name string, n float64) float64 { return s.byName[name].At(n) }
