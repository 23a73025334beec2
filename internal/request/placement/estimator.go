package placement

import (
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// smoothingUp and smoothingDown are the weights of a new observation in the moving average of a factor, when the
	// observation is above or below the factor. An estimate that is too low overloads workers, so factors rise faster
	// than they fall.
	smoothingUp   = 0.5
	smoothingDown = 0.1
	// maxFactor limits a correction factor to the range 1/maxFactor to maxFactor.
	maxFactor = 16.0
	// headroomFactor multiplies observed usage to get the amount that is reserved.
	headroomFactor = 1.1
)

// jobClass groups the jobs whose declarations are corrected together: those of one workspace in one pool.
type jobClass struct {
	workspace string
	pool      string
}

// correctionFactors holds the ratios of actual to declared usage and run time for a jobClass.
type correctionFactors struct {
	cpu      float64
	memory   float64
	runTime  float64
	observed bool
}

// Estimator corrects declared sizes and run times by what jobs were observed to use. Usage reports come late, so the
// corrections lag behind the actual usage. The estimator's state is kept only in memory: a new leader starts from the
// declarations and learns again from usage reports.
type Estimator struct {
	classes map[jobClass]*correctionFactors
}

// NewEstimator returns an estimator that uses declarations unchanged until it observes usage.
func NewEstimator() *Estimator { return &Estimator{classes: make(map[jobClass]*correctionFactors)} }

func (e *Estimator) factorsFor(job *laburnumv1.Job) *correctionFactors {
	c := jobClass{job.Team, job.Pool}
	f := e.classes[c]
	if f == nil {
		f = &correctionFactors{cpu: 1, memory: 1, runTime: 1}
		e.classes[c] = f
	}
	return f
}

// Predict returns the resources that a job is expected to use, with headroom; without observations, its declaration
// unchanged.
func (e *Estimator) Predict(job *laburnumv1.Job) Size {
	f := e.factorsFor(job)
	d := declaredOf(job)
	if !f.observed {
		return d
	}
	return Size{
		MilliCPU:     int64(float64(d.MilliCPU) * f.cpu * headroomFactor),
		Memory:       int64(float64(d.Memory) * f.memory * headroomFactor),
		Accelerators: d.Accelerators,
	}
}

// PredictRun returns how long a job is expected to run, or 0 if it declares no run time.
func (e *Estimator) PredictRun(job *laburnumv1.Job) time.Duration {
	return time.Duration(float64(job.DeclaredSeconds) * e.factorsFor(job).runTime * float64(time.Second))
}

// Observe updates the factors of the job's class with the usage of a running or ended job.
func (e *Estimator) Observe(job *laburnumv1.Job, used Size) {
	f := e.factorsFor(job)
	d := declaredOf(job)
	if used.MilliCPU > 0 {
		f.cpu = smooth(f.cpu, float64(used.MilliCPU)/float64(d.MilliCPU), f.observed)
	}
	if used.Memory > 0 {
		f.memory = smooth(f.memory, float64(used.Memory)/float64(d.Memory), f.observed)
	}
	f.observed = true
}

// ObserveRun updates the run time factor of the job's class with the run time of a job that succeeded.
func (e *Estimator) ObserveRun(job *laburnumv1.Job, ran time.Duration) {
	if job.DeclaredSeconds > 0 {
		f := e.factorsFor(job)
		f.runTime = smooth(f.runTime, ran.Seconds()/float64(job.DeclaredSeconds), true)
	}
}

// smooth returns a correction factor after an observed ratio of actual to declared. Without earlier observations, the
// ratio replaces the factor.
func smooth(factor, ratio float64, observed bool) float64 {
	ratio = min(max(ratio, 1/maxFactor), maxFactor)
	switch {
	case !observed:
		return ratio
	case ratio > factor:
		return factor + smoothingUp*(ratio-factor)
	}
	return factor + smoothingDown*(ratio-factor)
}
