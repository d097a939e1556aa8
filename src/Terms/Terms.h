/// \file
/// Terms module: who is primary, how it is replaced, and which of a primary's
/// answers may be let out. Pure policy; no input or output.
#ifndef CICADAWIND_TERMS_TERMS_H
#define CICADAWIND_TERMS_TERMS_H

#include "Terms/InstanceReport.h"
#include "Terms/LeaseTracker.h"
#include "Terms/PromotionMachine.h"
#include "Terms/PromotionTrigger.h"
#include "Terms/TermRecord.h"

#endif
