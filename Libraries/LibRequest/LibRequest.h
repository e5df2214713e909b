#pragma once

// The public header of LibRequest: the life of a request on the caller side and on the upstream side.
