package main

import (
	"context"
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/boragelane/boragelane/platform"
)

type reportArgs struct {
	Journal string `arg:"positional,required" help:"folder with the bench's journal"`
	Dir     string `arg:"positional,required" help:"folder for the plots"`
}

// reported are the days whose figures are drawn; days that were drawn by chance differ from run to run.
var reported = []string{"quiet-1", "trouble-1", "trouble-2", "trouble-3", "scale-1", "scale-2"}

// run draws, for each site, what the standard days were worth over the rounds and how many calls to the store they made.
func (a *reportArgs) run(context.Context) error {
	rounds, err := platform.Rounds(a.Journal)
	if err != nil {
		return err
	}
	sites := map[string][]platform.Round{}
	for _, r := range rounds {
		if r.Site != "" && !r.Trial {
			sites[r.Site] = append(sites[r.Site], r)
		}
	}
	for site, list := range sites {
		worth := func(r platform.Round) float64 { return r.Worth }
		calls := func(r platform.Round) float64 { return r.Calls }
		if err := chart("Worth of the days of "+site, "worth", list, worth, filepath.Join(a.Dir, "worth-"+site+".svg")); err != nil {
			return err
		}
		if err := chart("Calls to the store, "+site, "calls a day", list, calls, filepath.Join(a.Dir, "calls-"+site+".svg")); err != nil {
			return err
		}
		fmt.Println(site+":", len(list), "days")
	}
	return nil
}

// chart draws one value by day over the rounds.
func chart(title, label string, rounds []platform.Round, value func(platform.Round) float64, file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "round", label
	p.Legend.Top = true
	var lines []any
	for _, day := range reported {
		var pts plotter.XYs
		for i, r := range rounds {
			if r.Day == day {
				pts = append(pts, plotter.XY{X: float64(i), Y: value(r)})
			}
		}
		if len(pts) > 0 {
			lines = append(lines, day, pts)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, file)
}
