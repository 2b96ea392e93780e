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

// minPoints is the minimum number of sizes that a slope must be measured at.
const minPoints = 4

// Point is a value measured at one size.
type Point struct {
	N     float64 `yaml:"n" json:"n"`
	Value float64 `yaml:"value" json:"value"`
}

// Slope is a quantity measured at several sizes n and the line Base + PerUnit*n
// fitted to it by least squares, in Unit.
type Slope struct {
	Name string `yaml:"name" json:"name"`
	Unit string `yaml:"unit" json:"unit"`
	// By is what the sizes count.
	By        string `yaml:"by" json:"by"`
	Benchmark string `yaml:"benchmark" json:"benchmark"`
	Command   string `yaml:"command" json:"command"`
	// Scale converts the values to Unit; 0 or absent means 1.
	Scale   float64 `yaml:"scale" json:"scale"`
	Points  []Point `yaml:"points" json:"points"`
	Base    float64 `yaml:"-" json:"base"`
	PerUnit float64 `yaml:"-" json:"per_unit"`
	// Error is the root mean square of the residuals, relative to the mean value.
	Error float64 `yaml:"-" json:"error"`
}

// At returns the fitted value at size n, at least 0.
func (s *Slope) At(n float64) float64 { return max(0, s.Base+s.PerUnit*n) }

// Largest returns the largest size measured.
func (s *Slope) Largest() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.N)
	}
	return largest
}

// fit sets Base, PerUnit and Error. It returns an error if there are fewer than
// minPoints sizes.
func (s *Slope) fit() error {
	if len(s.Points) < minPoints {
		return trace.BadParameter("slope %q: %d sizes measured, at least %d are needed", s.Name, len(s.Points), minPoints)
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

// LoadSlopes parses the embedded slopes.yaml and fits the slopes.
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
			return nil, trace.BadParameter("slope %q is defined twice", slope.Name)
		}
		if err := slope.fit(); err != nil {
			return nil, err
		}
		s.byName[slope.Name] = slope
	}
	for _, name := range requiredSlopes {
		if s.byName[name] == nil {
			return nil, trace.BadParameter("slope %q is missing", name)
		}
	}
	return s, nil
}

// All returns the slopes in the file's order. Callers must not modify it.
func (s *Slopes) All() []*Slope { return s.all }

// at returns the fitted value of a required slope at size n.
func (s *Slopes) at(name string, n float64) float64 { return s.byName[name].At(n) }
