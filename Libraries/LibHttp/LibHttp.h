#pragma once

// The public header of LibHttp: HTTP/1.1 messages, read from bytes and written as bytes. Sockets belong to LibProxy.

#include <LibHttp/HttpFields.h>
#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/HttpParser.h>
#include <LibHttp/HttpSerializer.h>
