/// \file
/// StateCharts module: state charts that are read from files, and state
/// machines that interpret them.
#ifndef CICADAWIND_STATECHARTS_STATECHARTS_H
#define CICADAWIND_STATECHARTS_STATECHARTS_H

#include "StateCharts/ChartSet.h"
#include "StateCharts/StateChart.h"
#include "StateCharts/StateMachine.h"

#endif
