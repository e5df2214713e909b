#pragma once

// The public header of LibRouting: which upstream takes a request, and when a request is tried again.
