// The one place that includes h2o, whose headers don't pass our warnings.
#pragma once
#pragma GCC system_header

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>

#if H2O_VERSION_MAJOR != 2 || H2O_VERSION_MINOR != 2
#error "written against h2o 2.2, some of whose internals its users have to know"
#endif
