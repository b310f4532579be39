mod metered_stream;
