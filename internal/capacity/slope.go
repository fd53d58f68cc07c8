// Package capacity measures how the cost of each role grows with the size of
// the fleet, and draws the measured slopes. docs/CAPACITY.md derives the cost
// at the planned size from them.
package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a series of measurements and the straight line through them.
type Slope struct {
	// Name identifies the slope; it is the name of its picture.
	Name string `json:"name"`
	// Title says what is measured.
	Title string `json:"title"`
	// SizeUnit and CostUnit label the axes.
	SizeUnit string  `json:"sizeunit"`
	CostUnit string  `json:"costunit"`
	Points   []Point `json:"points"`
	// Base and Rise are the line Cost = Base + Rise * Size.
	Base float64 `json:"base"`
	Rise float64 `json:"rise"`
	// Residual is the largest distance of a point from the line, as a share of
	// the largest cost.
	Residual float64 `json:"residual"`
}

// minPoints is the least number of sizes for a fit.
const minPoints = 4

// fit computes the line through the points.
func (s *Slope) fit() error {
	if len(s.Points) < minPoints {
		return fmt.Errorf("slope %s: %d sizes: want at least %d", s.Name, len(s.Points), minPoints)
	}
	sizes := make([]float64, len(s.Points))
	costs := make([]float64, len(s.Points))
	for i, p := range s.Points {
		sizes[i], costs[i] = p.Size, p.Cost
	}
	s.Base, s.Rise = stat.LinearRegression(sizes, costs, nil, false)
	largest, distance := 0.0, 0.0
	for _, p := range s.Points {
		largest = math.Max(largest, math.Abs(p.Cost))
		distance = math.Max(distance, math.Abs(p.Cost-s.At(p.Size)))
	}
	if largest > 0 {
		s.Residual = distance / largest
	}
	return nil
}

// At returns the cost that the line gives for a size.
func (s *Slope) At(size float64) float64 { return s.Base + s.Rise*size }

// String formats the slope as a row of a table.
func (s *Slope) String() string {
	return fmt.Sprintf("| %s | %s | %.4g + %.4g per %s | %.1f%% |",
		s.Name, s.CostUnit, s.Base, s.Rise, s.SizeUnit, 100*s.Residual)
}

// Measure takes the measurements of one role.
type Measure func() ([]Slope, error)

// All returns the measurements of all roles.
func All() []Measure {
	return []Measure{Member, Configuration, Limits, Promotion, Supervisor, Document, Front}
}
