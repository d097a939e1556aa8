/// \file
/// ReleaseNotes module: parses the configuration changes that operators submit,
/// applies them, and holds the active configuration.
#ifndef CICADAWIND_RELEASENOTES_RELEASENOTES_H
#define CICADAWIND_RELEASENOTES_RELEASENOTES_H

#include "ReleaseNotes/ConfigHistory.h"
#include "ReleaseNotes/NoteDocument.h"
#include "ReleaseNotes/ReleaseNote.h"
#include "ReleaseNotes/ServiceConfig.h"

#endif
