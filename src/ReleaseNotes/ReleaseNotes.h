/// \file
/// ReleaseNotes module: what operators submit, what it means, and the
/// configuration in force.
#ifndef CICADAWIND_RELEASENOTES_RELEASENOTES_H
#define CICADAWIND_RELEASENOTES_RELEASENOTES_H

#include "ReleaseNotes/ConfigHistory.h"
#include "ReleaseNotes/NoteDocument.h"
#include "ReleaseNotes/ReleaseNote.h"
#include "ReleaseNotes/ServiceConfig.h"

#endif
